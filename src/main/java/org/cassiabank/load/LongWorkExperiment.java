package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * The experiment {@code long}: compares the latency of short requests with and without concurrent long requests, first
 * with and then without the separation of long work in the proxies.
 */
final class LongWorkExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SERVER_SLOTS = 2;
    private static final double SHORT_MILLIS = 10;
    private static final double LONG_MILLIS = 1_000;
    private static final double LONG_SHARE = 0.1;
    private static final double UTILISATION = 0.7;

    @Override
    public String name() {
        return "long";
    }

    @Override
    public String summary() {
        return "p99 of short work with and without 10% long work, separation on and off";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        double meanWorkMillis = SHORT_MILLIS * (1 - LONG_SHARE) + LONG_MILLIS * LONG_SHARE;
        double ratePerSecond = UTILISATION * SERVER_COUNT * SERVER_SLOTS * 1_000 / meanWorkMillis;
        List<Measure> measures = new ArrayList<>();
        List<Series> series = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        for (boolean separated : new boolean[] {true, false}) {
            String mode = separated ? "separation on" : "separation off";
            FleetSettings fleetSettings = FleetSettings.of(
                            settings.seed(), settings.proxyCount(), FleetService.kitchen(SERVER_COUNT, SERVER_SLOTS))
                    .withProxySetting("separate-long-work", Boolean.toString(separated));
            try (Fleet fleet = Fleet.start(fleetSettings);
                    LoadBalancer balancer = fleet.startProxyBalancer()) {
                LoadSettings loadSettings =
                        LoadSettings.of("long" + settings.seed()).withDeadlineMillis(8_000);
                List<RequestKind> kinds =
                        List.of(RequestKind.shortRead(SHORT_MILLIS), RequestKind.longRead(LONG_MILLIS));
                Warmup.run(balancer, loadSettings, settings.seed(), ratePerSecond, kinds);
                Samples pure = send(settings, balancer, loadSettings.withTokenPrefix("without"), ratePerSecond, 0);
                Samples mixed =
                        send(settings, balancer, loadSettings.withTokenPrefix("with"), ratePerSecond, LONG_SHARE);
                Samples pureShort = pure.ofKind("short").withOutcome(ObservedOutcome.ANSWERED);
                Samples mixedShort = mixed.ofKind("short").withOutcome(ObservedOutcome.ANSWERED);
                Samples longWork = mixed.ofKind("long");
                double p99Ratio = mixedShort.percentileMillis(99) / pureShort.percentileMillis(99);
                measures.add(Measure.of(mode + ": short p99 without long", pureShort.percentileMillis(99), "ms"));
                measures.add(Measure.of(mode + ": short p99 with long", mixedShort.percentileMillis(99), "ms"));
                measures.add(
                        separated
                                ? Measure.atMost(mode + ": ratio", p99Ratio, "", 1.25)
                                : Measure.of(mode + ": ratio", p99Ratio, ""));
                measures.add(Measure.of(
                        mode + ": short answered",
                        mixedShort.size() / (double) mixed.ofKind("short").size(),
                        ""));
                String longName = mode + ": long answered";
                double answeredShare =
                        longWork.withOutcome(ObservedOutcome.ANSWERED).size() / (double) longWork.size();
                measures.add(
                        separated
                                ? Measure.atLeast(longName, answeredShare, "", 1)
                                : Measure.of(longName, answeredShare, ""));
                measures.add(Measure.of(
                        mode + ": long p50",
                        longWork.withOutcome(ObservedOutcome.ANSWERED).percentileMillis(50),
                        "ms"));
                measures.add(Measure.of(mode + ": p99 delay of sending by the tool", mixed.sendDelayP99Millis(), "ms"));
                measures.add(Measure.atMost(mode + ": forbidden answers", mixed.countForbidden(), "", 0));
                series.add(Measures.latencySeries("short p99 in ms, " + mode, mixedShort, 99));
                Measures.describeReasons(mixed).forEach(reason -> notes.add(mode + ", " + reason));
            }
        }
        return new ExperimentResult(
                String.format(
                        "%d servers with %d slots, %.0f requests/s (%.0f%% of slots), short %.0f ms, long %.0f ms",
                        SERVER_COUNT, SERVER_SLOTS, ratePerSecond, UTILISATION * 100, SHORT_MILLIS, LONG_MILLIS),
                measures,
                series,
                notes);
    }

    private static Samples send(
            ExperimentSettings settings,
            LoadBalancer balancer,
            LoadSettings loadSettings,
            double ratePerSecond,
            double longShare)
            throws InterruptedException {
        // Short requests arrive at the same rate with and without long ones.
        List<Phase.Share> mix = longShare == 0
                ? List.of(new Phase.Share(RequestKind.shortRead(SHORT_MILLIS), 1))
                : List.of(
                        new Phase.Share(RequestKind.shortRead(SHORT_MILLIS), 1 - longShare),
                        new Phase.Share(RequestKind.longRead(LONG_MILLIS), longShare));
        Phase phase = new Phase(
                "mix",
                settings.durationSeconds() * 1_000L,
                longShare == 0 ? ratePerSecond * (1 - LONG_SHARE) : ratePerSecond,
                mix);
        return LoadRunner.create(balancer, loadSettings)
                .run(ArrivalSchedule.draw(settings.seed(), 20, List.of(phase)), FaultScript.empty());
    }
}
