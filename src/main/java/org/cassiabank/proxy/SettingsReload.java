package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.Objects;
import org.cassiabank.kernel.CassiabankException;
import sun.misc.Signal;

/**
 * Reads the settings again when the process receives SIGHUP, which would otherwise end it.
 *
 * <p>All settings take effect at the next start only; the reload checks them early and says whether they differ.
 */
final class SettingsReload {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private SettingsReload() {}

    static void onHangup(Path file, ProxySettings inForce) {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(inForce, "inForce");
        Signal.handle(new Signal("HUP"), signal -> check(file, inForce));
    }

    private static void check(Path file, ProxySettings inForce) {
        try {
            boolean same = ProxySettingsParser.read(file).equals(inForce);
            LOGGER.atInfo().log(
                    "settings read again from %s: %s", file, same ? "no change" : "changed, in force after a restart");
        } catch (CassiabankException exception) {
            LOGGER.atWarning().log("settings not valid, the former ones stay in force: %s", exception.getMessage());
        }
    }
}
