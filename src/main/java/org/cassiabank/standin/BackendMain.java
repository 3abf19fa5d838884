package org.cassiabank.standin;

import java.io.IOException;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Starts a {@link BackendServer} as a process.
 */
public final class BackendMain {
    private static final int EXIT_USAGE = 2;

    private BackendMain() {}

    /**
     * Runs the server until {@code POST /control/drain} or SIGTERM; it then drains and exits with 0. A usage error ends
     * the process with exit code 2.
     *
     * @param arguments the command line; {@code --help} describes it
     * @throws IOException if the help cannot be printed
     */
    public static void main(String[] arguments) throws IOException {
        System.setProperty("io.netty.bootstrap.extensions", "serviceload");
        // The shutdown hook of Jooby would stop the server at once instead of after draining.
        System.setProperty("jooby.useShutdownHook", "false");
        OptionParser parser = createParser();
        BackendSettings settings;
        BackendExecutionRecord executionRecord;
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has("help")) {
                parser.printHelpOn(System.out);
                return;
            }
            settings = toSettings(options);
            executionRecord = options.has("journal")
                    ? BackendExecutionRecord.withJournal(Path.of((String) options.valueOf("journal")))
                    : BackendExecutionRecord.create();
        } catch (OptionException | IllegalArgumentException | IOException exception) {
            System.err.println("cassiabank-backend: " + exception.getMessage());
            parser.printHelpOn(System.err);
            System.exit(EXIT_USAGE);
            return;
        }
        BackendServer server = BackendServer.create(settings, executionRecord, () -> Thread.ofPlatform()
                .name("drain")
                .start(() -> System.exit(0)));
        server.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(server), "shutdown"));
        System.out.println(
                "cassiabank-backend " + settings.name() + " listens on " + settings.host() + ":" + settings.port());
    }

    private static void drainAndHalt(BackendServer server) {
        try {
            server.drainAndStop();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        // Without halt(0), a process that receives SIGTERM exits with 143 although all its requests are complete.
        Runtime.getRuntime().halt(0);
    }

    private static OptionParser createParser() {
        OptionParser parser = new OptionParser();
        parser.accepts("help", "Print this help").forHelp();
        parser.accepts("address", "IP:PORT to listen on").withRequiredArg().required();
        parser.accepts("name", "Name in answers and records").withRequiredArg().defaultsTo("backend");
        parser.accepts("journal", "File that receives the key of each started execution")
                .withRequiredArg();
        addLongOption(parser, "slots", "Requests that run at once", 2);
        addLongOption(parser, "connections", "Connections that may be open", 330);
        addLongOption(parser, "seed", "Seed of service times and faults", 1);
        addDoubleOption(parser, "work-millis", "Median service time in ms", 10);
        addDoubleOption(parser, "work-spread", "Standard deviation of the logarithm of the service time", 0.2);
        addLongOption(parser, "cold-requests", "Requests after the start that are slower", 0);
        addLongOption(parser, "cold-millis", "Time after the start in which requests are slower, in ms", 0);
        addDoubleOption(parser, "cold-factor", "Factor of the service time while cold", 4);
        addLongOption(parser, "linger-millis", "Least time between the start of draining and the exit, in ms", 1000);
        addLongOption(parser, "drain-millis", "Longest wait for running work while draining, in ms", 30_000);
        return parser;
    }

    private static void addLongOption(OptionParser parser, String name, String description, long defaultValue) {
        parser.accepts(name, description).withRequiredArg().ofType(Long.class).defaultsTo(defaultValue);
    }

    private static void addDoubleOption(OptionParser parser, String name, String description, double defaultValue) {
        parser.accepts(name, description).withRequiredArg().ofType(Double.class).defaultsTo(defaultValue);
    }

    private static BackendSettings toSettings(OptionSet options) {
        String address = (String) options.valueOf("address");
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("--address must be IP:PORT: " + address);
        }
        return new BackendSettings(
                (String) options.valueOf("name"),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                Math.toIntExact((Long) options.valueOf("slots")),
                Math.toIntExact((Long) options.valueOf("connections")),
                (Long) options.valueOf("seed"),
                (Double) options.valueOf("work-millis"),
                (Double) options.valueOf("work-spread"),
                (Long) options.valueOf("cold-requests"),
                (Long) options.valueOf("cold-millis"),
                (Double) options.valueOf("cold-factor"),
                (Long) options.valueOf("linger-millis"),
                (Long) options.valueOf("drain-millis"));
    }
}
