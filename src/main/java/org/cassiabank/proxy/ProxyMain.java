package org.cassiabank.proxy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
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
     * Runs the daemon until it receives SIGTERM or SIGINT, and then stops it without interrupting requests. Exits with
     * 0 after a stop, 1 if the daemon cannot start and 2 if the command line or the settings are not valid.
     *
     * @param arguments the command line; {@code --help} prints its form
     * @throws IOException if the help text cannot be written
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        SettingsReload reload = SettingsReload.handleHangup();
        OptionParser parser = new OptionParser();
        OptionSpec<String> fileArgument = parser.nonOptions(
                        "TOML file with the settings; default is the file that CASSIABANK_SETTINGS names")
                .describedAs("FILE");
        OptionSpec<Void> checkOption = parser.accepts("check", "check the settings and exit");
        OptionSpec<Void> helpOption =
                parser.acceptsAll(List.of("help", "h"), "print this help").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(helpOption)) {
                parser.printHelpOn(System.out);
                return;
            }
            Path file = settingsFile(options.valuesOf(fileArgument));
            ProxySettings settings = ProxySettingsParser.read(file);
            if (options.has(checkOption)) {
                System.out.println("the settings are valid");
                return;
            }
            Logging.setUp(settings.name());
            reload.setInForce(file, settings);
            run(settings);
        } catch (OptionException exception) {
            exit(EXIT_USAGE, exception);
        } catch (CassiabankException exception) {
            exit(exception.code() == ErrorCode.INVALID_INPUT ? EXIT_USAGE : EXIT_FAILURE, exception);
        }
    }

    private static Path settingsFile(List<String> fileArguments) {
        if (fileArguments.size() == 1) {
            return Path.of(fileArguments.getFirst());
        }
        String fileFromEnvironment = System.getenv(SETTINGS_VARIABLE);
        if (!fileArguments.isEmpty() || fileFromEnvironment == null || fileFromEnvironment.isBlank()) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT,
                    "expected one FILE with the settings, or its path in " + SETTINGS_VARIABLE);
        }
        return Path.of(fileFromEnvironment);
    }

    private static void run(ProxySettings settings) throws InterruptedException {
        ProxyDaemon daemon = ProxyDaemon.create(settings);
        daemon.start();
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().name("drain").unstarted(() -> {
            daemon.close();
            // Without the halt the JVM exits with status 143 for the signal, which looks like a failed stop.
            Logging.flush();
            Runtime.getRuntime().halt(EXIT_SUCCESS);
        }));
        daemon.awaitUnexpectedEnd();
        // The platform starts the daemon again; an orderly stop would wait for callers that get no reply.
        Logging.flush();
        Runtime.getRuntime().halt(EXIT_FAILURE);
    }

    private static void exit(int status, RuntimeException exception) {
        System.err.println("cassiabank-proxy: " + exception.getMessage());
        System.exit(status);
    }
}
