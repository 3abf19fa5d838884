package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Runs a scenario against a fleet like the kitchens'. The guarantees about responses and executions are its targets.
 */
final class ScenarioExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;

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
        LoadSettings sending = LoadSettings.of("scenario" + settings.seed()).withRepeats(2);
        FleetSettings fleetSettings =
                FleetSettings.of(settings.seed(), settings.proxies(), FleetService.kitchen(SERVERS, SLOTS));
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer balancer = fleet.balanceProxies()) {
            FaultScript script = scenario.toScript(fleet);
            List<RequestKind> kinds =
                    phases.getFirst().mix().stream().map(Phase.Share::kind).toList();
            Warmup.run(balancer, sending, settings.seed(), 50, kinds);
            Samples samples =
                    LoadRunner.create(balancer, sending).run(ArrivalSchedule.draw(settings.seed(), 20, phases), script);
            RecordCheck check = RecordCheck.of(samples, fleet.executions());
            List<Measure> measures = new ArrayList<>(Measures.ofClasses(samples));
            measures.addAll(check.measures());
            for (Phase phase : phases) {
                Samples answered = samples.where(sample -> sample.arrival().phase() == phase)
                        .of(AnswerClass.ANSWERED);
                measures.add(Measure.of("phase " + phase.name() + ": answered", answered.size(), ""));
                measures.add(Measure.of("phase " + phase.name() + ": p99", answered.percentileMillis(99), "ms"));
            }
            List<String> notes = new ArrayList<>(Measures.reasons(samples));
            notes.addAll(check.notes());
            return new ExperimentResult(
                    SERVERS + " servers with " + SLOTS + " slots, rates of the scenario",
                    measures,
                    List.of(Measures.latencySeries("p99 in ms", samples, 99)),
                    notes);
        }
    }
}
