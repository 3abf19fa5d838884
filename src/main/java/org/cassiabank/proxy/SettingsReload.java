package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.kernel.CassiabankException;
import sun.misc.Signal;

/**
 * Validates the settings file when the process receives SIGHUP, which would otherwise terminate it.
 *
 * <p>All settings take effect at the next start only; the check logs whether the file is valid and differs from the
 * settings in force.
 */
final class SettingsReload {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private volatile Optional<SettingsInForce> inForce = Optional.empty();

    private SettingsReload() {}

    /**
     * Installs the handler of the signal. To be called before anything else, because an earlier signal terminates the
     * process.
     *
     * @return the reload, which ignores the signal until settings are in force
     */
    static SettingsReload handleHangup() {
        SettingsReload reload = new SettingsReload();
        Signal.handle(new Signal("HUP"), signal -> reload.checkSettingsFile());
        return reload;
    }

    /**
     * Sets the settings with which later signals compare the file.
     *
     * @param file the settings file
     * @param settings the settings in force
     */
    void setInForce(Path file, ProxySettings settings) {
        inForce = Optional.of(new SettingsInForce(file, settings));
    }

    private void checkSettingsFile() {
        inForce.ifPresent(current -> {
            try {
                boolean unchanged = ProxySettingsParser.read(current.file()).equals(current.settings());
                LOGGER.atInfo().log(
                        "settings file %s checked: %s",
                        current.file(), unchanged ? "no change" : "changed, takes effect after a restart");
            } catch (CassiabankException exception) {
                LOGGER.atWarning().log(
                        "settings file not valid; the previous settings stay in force: %s", exception.getMessage());
            }
        });
    }

    /** The settings in force and the file that they were read from. */
    private record SettingsInForce(Path file, ProxySettings settings) {
        private SettingsInForce {
            Objects.requireNonNull(file, "file");
            Objects.requireNonNull(settings, "settings");
        }
    }
}
