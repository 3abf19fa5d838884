package org.cassiabank.standin;

import java.io.IOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cassiabank.logging.Logging;

/**
 * Starts a {@link PlatformServer} as a process.
 */
public final class PlatformMain {
    private static final int EXIT_USAGE = 2;

    private PlatformMain() {}

    /**
     * Runs the server until the process ends. A usage error ends the process with exit code 2.
     *
     * @param arguments the command line; {@code --help} describes it
     * @throws IOException if the help text cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> address = parser.accepts("address", "IP number and port to listen on")
                .withRequiredArg()
                .defaultsTo("127.0.0.1:8500");
        OptionSpec<Void> help =
                parser.acceptsAll(List.of("help", "h"), "print this help").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(System.out);
                return;
            }
            Logging.setUp("platform");
            PlatformServer.create(options.valueOf(address)).start();
        } catch (OptionException | IllegalArgumentException exception) {
            System.err.println("cassiabank-platform: " + exception.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
