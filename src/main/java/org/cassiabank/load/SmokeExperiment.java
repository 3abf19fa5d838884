package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Sends a light mixed load without faults: everything must be answered and run once.
 */
final class SmokeExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;
    private static final double WORK_MILLIS = 20;
    private static final double RATE = 200;

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
        FleetService service = FleetService.kitchen(SERVERS, SLOTS);
        LoadSettings loadSettings = LoadSettings.of("smoke" + settings.seed());
        List<Phase.Share> mix = List.of(
                new Phase.Share(RequestKind.shortRead(WORK_MILLIS), 0.83),
                new Phase.Share(RequestKind.longRead(WORK_MILLIS * 10), 0.02),
                new Phase.Share(RequestKind.order(WORK_MILLIS), 0.15));
        ArrivalSchedule schedule = ArrivalSchedule.draw(
                settings.seed(), 20, List.of(new Phase("steady", settings.seconds() * 1_000L, RATE, mix)));
        boolean direct = settings.proxies() == 0;
        try (Fleet fleet = Fleet.start(FleetSettings.of(settings.seed(), settings.proxies(), service));
                LoadBalancer balancer = direct ? fleet.balanceBackends() : fleet.balanceProxies()) {
            LoadSettings sending = direct ? loadSettings.asDirect() : loadSettings;
            Warmup.run(
                    balancer,
                    sending,
                    settings.seed(),
                    RATE,
                    mix.stream().map(Phase.Share::kind).toList());
            Samples samples = LoadRunner.create(balancer, sending).run(schedule, FaultScript.none());
            RecordCheck check = RecordCheck.of(samples, fleet.executions());
            List<Measure> measures = new ArrayList<>(Measures.ofClasses(samples));
            double share = samples.of(AnswerClass.ANSWERED).size() / (double) samples.size();
            // Without proxies nobody queues, and servers shed what arrives while their slots are busy.
            measures.add(
                    direct ? Measure.of("share answered", share, "") : Measure.atLeast("share answered", share, "", 1));
            measures.addAll(check.measures());
            for (String kind : List.of("short", "long", "order")) {
                Samples answered = samples.ofKind(kind).of(AnswerClass.ANSWERED);
                measures.add(Measure.of(kind + " p50", answered.percentileMillis(50), "ms"));
                measures.add(Measure.of(kind + " p99", answered.percentileMillis(99), "ms"));
            }
            List<String> notes = new ArrayList<>(Measures.reasons(samples));
            notes.addAll(check.notes());
            return new ExperimentResult(
                    SERVERS + " servers with " + SLOTS + " slots, " + RATE + " requests/s, short work " + WORK_MILLIS
                            + " ms, long work 10 times longer",
                    measures,
                    List.of(Measures.latencySeries("p99 in ms", samples, 99)),
                    notes);
        }
    }
}
