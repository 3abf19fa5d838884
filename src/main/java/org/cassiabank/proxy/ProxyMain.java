package org.cassiabank.proxy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.logging.Logging;

/**
 * Starts a proxy daemon.
 */
public final class ProxyMain {
    private static final String SETTINGS_VARIABLE = "CASSIABANK_SETTINGS";
    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private ProxyMain() {}

    /**
     * Runs the daemon until it receives SIGTERM or SIGINT, and then stops it without cutting requests.
     *
     * @param arguments the command line; {@code --help} describes it
     * @throws IOException if the help text cannot be written
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        SettingsReload reload = SettingsReload.listen();
        OptionParser parser = new OptionParser();
        OptionSpec<String> settingsFile = parser.nonOptions(
                        "TOML file with the settings; default is the file that CASSIABANK_SETTINGS names")
                .describedAs("FILE");
        OptionSpec<Void> check = parser.accepts("check", "check the settings and exit");
        OptionSpec<Void> help =
                parser.acceptsAll(List.of("help", "h"), "print this help").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(System.out);
                return;
            }
            Path file = settingsFile(options.valuesOf(settingsFile));
            ProxySettings settings = ProxySettingsParser.read(file);
            if (options.has(check)) {
                System.out.println("the settings are valid");
                return;
            }
            Logging.setUp(settings.name());
            reload.use(file, settings);
            run(settings);
        } catch (OptionException exception) {
            exit(EXIT_USAGE, exception);
        } catch (CassiabankException exception) {
            exit(exception.code() == ErrorCode.INVALID_INPUT ? EXIT_USAGE : EXIT_FAILURE, exception);
        }
    }

    private static Path settingsFile(List<String> named) {
        if (named.size() == 1) {
            return Path.of(named.getFirst());
        }
        String variable = System.getenv(SETTINGS_VARIABLE);
        if (!named.isEmpty() || variable == null || variable.isBlank()) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT,
                    "expected one FILE with the settings, or its path in " + SETTINGS_VARIABLE);
        }
        return Path.of(variable);
    }

    private static void run(ProxySettings settings) throws InterruptedException {
        ProxyDaemon daemon = ProxyDaemon.create(settings);
        daemon.start();
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().name("drain").unstarted(() -> {
            daemon.close();
            // Without this the JVM reports the signal as status 143, which looks like a failed stop.
            Logging.flush();
            Runtime.getRuntime().halt(EXIT_SUCCESS);
        }));
        new CountDownLatch(1).await();
    }

    private static void exit(int status, RuntimeException exception) {
        System.err.println("cassiabank-proxy: " + exception.getMessage());
        System.exit(status);
    }
}
