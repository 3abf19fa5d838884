package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Runs a scenario file against a fleet with the service {@code kitchen}. Its targets are the guarantees about responses
 * and executions.
 */
final class ScenarioExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SLOTS_PER_SERVER = 2;

    private final Scenario scenario;

    private ScenarioExperiment(Scenario scenario) {
        this.scenario = Objects.requireNonNull(scenario, "scenario");
    }

    static ScenarioExperiment of(Scenario scenario) {
        return new ScenarioExperiment(scenario);
    }

    @Override
    public String name() {
        return "scenario";
    }

    @Override
    public String summary() {
        return "phases and faults of a file";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        List<Phase> phases = scenario.toPhases();
        LoadSettings loadSettings =
                LoadSettings.of("scenario" + settings.seed()).withMaximumRepeats(2);
        FleetSettings fleetSettings = FleetSettings.of(
                settings.seed(), settings.proxyCount(), FleetService.kitchen(SERVER_COUNT, SLOTS_PER_SERVER));
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer balancer = fleet.startProxyBalancer()) {
            FaultScript script = scenario.toFaultScript(fleet);
            List<RequestKind> kinds =
                    phases.getFirst().mix().stream().map(Phase.Share::kind).toList();
            Warmup.run(balancer, loadSettings, settings.seed(), 50, kinds);
            Samples samples = LoadRunner.create(balancer, loadSettings)
                    .run(ArrivalSchedule.draw(settings.seed(), 20, phases), script);
            ExecutionCheck executionCheck = ExecutionCheck.of(samples, fleet.countExecutions());
            List<Measure> measures = new ArrayList<>(Measures.ofOutcomes(samples));
            measures.addAll(executionCheck.measures());
            for (Phase phase : phases) {
                Samples answered = samples.where(sample -> sample.arrival().phase() == phase)
                        .withOutcome(ObservedOutcome.ANSWERED);
                measures.add(Measure.of("phase " + phase.name() + ": answered", answered.size(), ""));
                measures.add(Measure.of("phase " + phase.name() + ": p99", answered.percentileMillis(99), "ms"));
            }
            List<String> notes = new ArrayList<>(Measures.describeReasons(samples));
            notes.addAll(executionCheck.notes());
            return new ExperimentResult(
                    SERVER_COUNT + " servers with " + SLOTS_PER_SERVER + " slots, rates of the scenario",
                    measures,
                    List.of(Measures.latencySeries("p99 in ms", samples, 99)),
                    notes);
        }
    }
}
