package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * The experiment {@code added-time}: compares the latency of requests through proxies with the latency of requests that
 * are sent directly to the same backend servers, at half of their capacity.
 */
final class AddedLatencyExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SLOTS_PER_SERVER = 2;
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
        // The service time is constant, because its variance would hide the difference.
        RequestKind kind = new RequestKind("short", "GET", "/menu", WORK_MILLIS, 0, false);
        double requestsPerSecond = SERVER_COUNT * SLOTS_PER_SERVER * 500 / WORK_MILLIS;
        ArrivalSchedule schedule = ArrivalSchedule.draw(
                settings.seed(),
                20,
                List.of(Phase.of("half load", settings.durationSeconds() * 1_000L, requestsPerSecond, kind)));
        List<Measure> measures = new ArrayList<>();
        FleetSettings fleetSettings = FleetSettings.of(
                settings.seed(), settings.proxyCount(), FleetService.kitchen(SERVER_COUNT, SLOTS_PER_SERVER));
        try (Fleet fleet = Fleet.start(fleetSettings);
                LoadBalancer proxyBalancer = fleet.startProxyBalancer();
                LoadBalancer backendBalancer = fleet.startBackendBalancer()) {
            LoadSettings loadSettings = LoadSettings.of("added" + settings.seed());
            Warmup.run(proxyBalancer, loadSettings, settings.seed(), requestsPerSecond, List.of(kind));
            Samples direct = LoadRunner.create(
                            backendBalancer, loadSettings.bypassingProxies().withTokenPrefix("direct"))
                    .run(schedule, FaultScript.empty());
            Samples proxied = LoadRunner.create(proxyBalancer, loadSettings.withTokenPrefix("through"))
                    .run(schedule, FaultScript.empty());
            Samples directAnswered = direct.withOutcome(ObservedOutcome.ANSWERED);
            Samples proxiedAnswered = proxied.withOutcome(ObservedOutcome.ANSWERED);
            measures.addAll(Measures.ofOutcomes(proxied));
            measures.add(Measure.of(
                    "shed without proxies",
                    direct.withOutcome(ObservedOutcome.NOT_RUN).size(),
                    ""));
            for (double percentile : new double[] {50, 90, 99}) {
                double directMillis = directAnswered.percentileMillis(percentile);
                double proxiedMillis = proxiedAnswered.percentileMillis(percentile);
                String percentileName = "p" + (int) percentile;
                measures.add(Measure.of(percentileName + " direct", directMillis, "ms"));
                measures.add(Measure.of(percentileName + " through proxies", proxiedMillis, "ms"));
                double addedMillis = proxiedMillis - directMillis;
                measures.add(
                        percentile == 99
                                ? Measure.atMost(percentileName + " added", addedMillis, "ms", 2.7)
                                : Measure.of(percentileName + " added", addedMillis, "ms"));
            }
            return new ExperimentResult(
                    SERVER_COUNT + " servers with " + SLOTS_PER_SERVER + " slots, " + requestsPerSecond
                            + " requests/s (half load), work " + WORK_MILLIS + " ms",
                    measures,
                    List.of(
                            Measures.latencySeries("p99 direct in ms", directAnswered, 99),
                            Measures.latencySeries("p99 through proxies in ms", proxiedAnswered, 99)),
                    Measures.describeReasons(proxied));
        }
    }
}
