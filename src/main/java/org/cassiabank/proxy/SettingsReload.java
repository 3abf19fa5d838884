package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.kernel.CassiabankException;
import sun.misc.Signal;

/**
 * Reads the settings again when the process receives SIGHUP, which would otherwise end it.
 *
 * <p>All settings take effect at the next start only; the reload checks them early and says whether they differ.
 */
final class SettingsReload {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private volatile Optional<InForce> inForce = Optional.empty();

    private SettingsReload() {}

    /**
     * Begins to listen for the signal. To be called before anything else, because a signal that comes earlier ends the
     * process.
     *
     * @return the reload, which does nothing until settings are in force
     */
    static SettingsReload listen() {
        SettingsReload reload = new SettingsReload();
        Signal.handle(new Signal("HUP"), signal -> reload.check());
        return reload;
    }

    /**
     * Sets what later signals compare with.
     *
     * @param file the settings file
     * @param settings the settings in force
     */
    void use(Path file, ProxySettings settings) {
        inForce = Optional.of(new InForce(file, settings));
    }

    private void check() {
        inForce.ifPresent(present -> {
            try {
                boolean same = ProxySettingsParser.read(present.file()).equals(present.settings());
                LOGGER.atInfo().log(
                        "settings read again from %s: %s",
                        present.file(), same ? "no change" : "changed, in force after a restart");
            } catch (CassiabankException exception) {
                LOGGER.atWarning().log("settings not valid, the former ones stay in force: %s", exception.getMessage());
            }
        });
    }

    /** The settings in force and where they came from. */
    private record InForce(Path file, ProxySettings settings) {
        private InForce {
            Objects.requireNonNull(file, "file");
            Objects.requireNonNull(settings, "settings");
        }
    }
}
