package org.cassiabank.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * The main class of {@code cassiabank-load}, which starts fleets of processes on loopback addresses, sends load to them
 * and checks the responses.
 */
public final class LoadMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final List<Experiment> EXPERIMENTS = List.of(
            new SmokeExperiment(),
            new GrayFailureExperiment(),
            new LongWorkExperiment(),
            new OverloadExperiment(),
            new AddedLatencyExperiment(),
            new DuplicateExecutionExperiment(),
            new RollingRestartExperiment(),
            new ConfigurationDelayExperiment(),
            new ControlOverheadExperiment());

    private LoadMain() {}

    /**
     * Runs the program. Exits with 0 if all targets were met, 1 if a target was missed or a process failed, and 2 if
     * the command line or a scenario file is invalid.
     *
     * @param arguments the command line, see {@code --help}
     * @throws IOException if a report cannot be written
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        OptionParser parser = createParser();
        int exitCode;
        try {
            OptionSet options = parser.parse(arguments);
            exitCode = options.has("help") ? printHelp(parser) : runCommand(options);
        } catch (OptionException | IllegalArgumentException exception) {
            System.err.println("cassiabank-load: " + exception.getMessage());
            exitCode = EXIT_USAGE;
        } catch (CassiabankException exception) {
            System.err.println("cassiabank-load: " + exception.getMessage());
            exitCode = exception.code() == ErrorCode.INVALID_INPUT ? EXIT_USAGE : EXIT_FAILURE;
        }
        System.exit(exitCode);
    }

    private static int runCommand(OptionSet options) throws IOException, InterruptedException {
        List<String> operands =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        ExperimentSettings settings =
                new ExperimentSettings((Long) options.valueOf("seed"), (Integer) options.valueOf("proxies"), (Integer)
                        options.valueOf("seconds"));
        if (operands.size() == 2 && operands.getFirst().equals("experiment")) {
            return runExperiment(findExperiment(operands.get(1)), settings, options);
        }
        if (operands.size() == 2 && operands.getFirst().equals("run")) {
            return runExperiment(ScenarioExperiment.of(Scenario.read(Path.of(operands.get(1)))), settings, options);
        }
        if (operands.equals(List.of("fleet"))) {
            return runFleet(settings);
        }
        throw new IllegalArgumentException(
                "expected \"experiment NAME\", \"run FILE\" or \"fleet\", but got " + operands);
    }

    private static int runExperiment(Experiment experiment, ExperimentSettings settings, OptionSet options)
            throws IOException, InterruptedException {
        ExperimentResult result = experiment.run(settings);
        ExperimentReports.printTable(experiment.name(), settings, result, System.out);
        if (options.has("json")) {
            ExperimentReports.writeJson(experiment.name(), settings, result, Path.of((String) options.valueOf("json")));
        }
        if (options.has("chart")) {
            ExperimentReports.writeChart(experiment.name(), result, Path.of((String) options.valueOf("chart")));
        }
        return result.passes() ? 0 : EXIT_FAILURE;
    }

    private static int runFleet(ExperimentSettings settings) throws InterruptedException {
        try (Fleet fleet =
                Fleet.start(FleetSettings.of(settings.seed(), settings.proxyCount(), FleetService.kitchen(8, 2)))) {
            System.out.println("platform " + fleet.platformUrl());
            for (FleetMember member : fleet.backends()) {
                System.out.println(member.name() + " http://" + member.address() + " pid "
                        + member.process().pid());
            }
            for (FleetMember member : fleet.proxies()) {
                System.out.println(member.name() + " http://" + member.address() + " admin " + member.controlUrl()
                        + " pid " + member.process().pid());
            }
            System.out.println("settings and logs in " + fleet.directory() + "; ends with this process");
            new CountDownLatch(1).await();
        }
        return 0;
    }

    private static Experiment findExperiment(String name) {
        return EXPERIMENTS.stream()
                .filter(experiment -> experiment.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no experiment is named " + name + "; there are "
                        + EXPERIMENTS.stream().map(Experiment::name).toList()));
    }

    private static int printHelp(OptionParser parser) throws IOException {
        System.out.println("cassiabank-load experiment NAME [options]   runs an experiment with a fleet of its own");
        System.out.println(
                "cassiabank-load run FILE [options]          runs the phases and fault steps of a TOML file");
        System.out.println("cassiabank-load fleet [options]             starts a fleet and waits for a signal");
        EXPERIMENTS.forEach(experiment -> System.out.printf("  %-15s %s%n", experiment.name(), experiment.summary()));
        parser.printHelpOn(System.out);
        return 0;
    }

    private static OptionParser createParser() {
        OptionParser parser = new OptionParser();
        parser.acceptsAll(Arrays.asList("help", "h"), "Print this help").forHelp();
        parser.accepts("seed", "Seed of the schedule and the backend servers")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        parser.accepts("proxies", "Number of proxies")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(6);
        parser.accepts("seconds", "Length of the main part in seconds")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(10);
        parser.accepts("json", "File for the figures as JSON").withRequiredArg();
        parser.accepts("chart", "PNG file for the chart").withRequiredArg();
        return parser;
    }
}
