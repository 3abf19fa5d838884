package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * The experiment {@code smoke}: sends a light mixed load without faults. All requests must be answered, and
 * unrepeatable ones must run once.
 */
final class SmokeExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SLOTS_PER_SERVER = 2;
    private static final double WORK_MILLIS = 20;
    private static final double REQUESTS_PER_SECOND = 200;

    @Override
    public String name() {
        return "smoke";
    }

    @Override
    public String summary() {
        return "light mixed load without faults";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        FleetService service = FleetService.kitchen(SERVER_COUNT, SLOTS_PER_SERVER);
        LoadSettings loadSettings = LoadSettings.of("smoke" + settings.seed());
        List<Phase.Share> mix = List.of(
                new Phase.Share(RequestKind.shortRead(WORK_MILLIS), 0.83),
                new Phase.Share(RequestKind.longRead(WORK_MILLIS * 10), 0.02),
                new Phase.Share(RequestKind.order(WORK_MILLIS), 0.15));
        ArrivalSchedule schedule = ArrivalSchedule.draw(
                settings.seed(),
                20,
                List.of(new Phase("steady", settings.durationSeconds() * 1_000L, REQUESTS_PER_SECOND, mix)));
        boolean bypassProxies = settings.proxyCount() == 0;
        try (Fleet fleet = Fleet.start(FleetSettings.of(settings.seed(), settings.proxyCount(), service));
                LoadBalancer balancer = bypassProxies ? fleet.startBackendBalancer() : fleet.startProxyBalancer()) {
            LoadSettings effectiveSettings = bypassProxies ? loadSettings.bypassingProxies() : loadSettings;
            Warmup.run(
                    balancer,
                    effectiveSettings,
                    settings.seed(),
                    REQUESTS_PER_SECOND,
                    mix.stream().map(Phase.Share::kind).toList());
            Samples samples = LoadRunner.create(balancer, effectiveSettings).run(schedule, FaultScript.empty());
            ExecutionCheck executionCheck = ExecutionCheck.of(samples, fleet.countExecutions());
            List<Measure> measures = new ArrayList<>(Measures.ofOutcomes(samples));
            double answeredShare = samples.withOutcome(ObservedOutcome.ANSWERED).size() / (double) samples.size();
            // Without proxies no requests are queued, and servers shed requests while all their slots are in use.
            measures.add(
                    bypassProxies
                            ? Measure.of("share answered", answeredShare, "")
                            : Measure.atLeast("share answered", answeredShare, "", 1));
            measures.addAll(executionCheck.measures());
            for (String kind : List.of("short", "long", "order")) {
                Samples answered = samples.ofKind(kind).withOutcome(ObservedOutcome.ANSWERED);
                measures.add(Measure.of(kind + " p50", answered.percentileMillis(50), "ms"));
                measures.add(Measure.of(kind + " p99", answered.percentileMillis(99), "ms"));
            }
            List<String> notes = new ArrayList<>(Measures.describeReasons(samples));
            notes.addAll(executionCheck.notes());
            return new ExperimentResult(
                    SERVER_COUNT + " servers with " + SLOTS_PER_SERVER + " slots, " + REQUESTS_PER_SECOND
                            + " requests/s, short work " + WORK_MILLIS + " ms, long work 10 times longer",
                    measures,
                    List.of(Measures.latencySeries("p99 in ms", samples, 99)),
                    notes);
        }
    }
}
