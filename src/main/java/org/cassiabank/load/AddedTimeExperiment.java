package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Compares the latency through proxies with the latency of the same servers without proxies.
 */
final class AddedTimeExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;
    private static final double WORK_MILLIS = 20;

    @Override
    public String name() {
        return "added-time";
    }

    @Override
    public String summary() {
        return "latency through proxies against direct requests at half load";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        // A constant service time, so that its spread does not hide the difference.
        RequestKind kind = new RequestKind("short", "GET", "/menu", WORK_MILLIS, 0, false);
        double rate = SERVERS * SLOTS * 500 / WORK_MILLIS;
        ArrivalSchedule schedule = ArrivalSchedule.draw(
                settings.seed(), 20, List.of(Phase.of("half load", settings.seconds() * 1_000L, rate, kind)));
        List<Measure> measures = new ArrayList<>();
        FleetSettings fleetSettings =
                FleetSettings.of(settings.seed(), settings.proxies(), FleetService.kitchen(SERVERS, SLOTS));
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer proxies = fleet.balanceProxies();
                LoadBalancer backends = fleet.balanceBackends()) {
            LoadSettings sending = LoadSettings.of("added" + settings.seed());
            Warmup.run(proxies, sending, settings.seed(), rate, List.of(kind));
            Samples direct = LoadRunner.create(backends, sending.asDirect().withRun("direct"))
                    .run(schedule, FaultScript.none());
            Samples through =
                    LoadRunner.create(proxies, sending.withRun("through")).run(schedule, FaultScript.none());
            Samples directAnswered = direct.of(AnswerClass.ANSWERED);
            Samples throughAnswered = through.of(AnswerClass.ANSWERED);
            measures.addAll(Measures.ofClasses(through));
            measures.add(Measure.of(
                    "shed without proxies", direct.of(AnswerClass.NOT_RUN).size(), ""));
            for (double percentile : new double[] {50, 90, 99}) {
                double directMillis = directAnswered.percentileMillis(percentile);
                double throughMillis = throughAnswered.percentileMillis(percentile);
                String name = "p" + (int) percentile;
                measures.add(Measure.of(name + " direct", directMillis, "ms"));
                measures.add(Measure.of(name + " through proxies", throughMillis, "ms"));
                double added = throughMillis - directMillis;
                measures.add(
                        percentile == 99
                                ? Measure.atMost(name + " added", added, "ms", 2.7)
                                : Measure.of(name + " added", added, "ms"));
            }
            return new ExperimentResult(
                    SERVERS + " servers with " + SLOTS + " slots, " + rate + " requests/s (half load), work "
                            + WORK_MILLIS + " ms",
                    measures,
                    List.of(
                            Measures.latencySeries("p99 direct in ms", directAnswered, 99),
                            Measures.latencySeries("p99 through proxies in ms", throughAnswered, 99)),
                    Measures.reasons(through));
        }
    }
}
