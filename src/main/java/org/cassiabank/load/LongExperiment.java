package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Compares the latency of short work with and without long work beside it.
 */
final class LongExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;
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
        double meanMillis = SHORT_MILLIS * (1 - LONG_SHARE) + LONG_MILLIS * LONG_SHARE;
        double rate = UTILISATION * SERVERS * SLOTS * 1_000 / meanMillis;
        List<Measure> measures = new ArrayList<>();
        List<Series> series = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        for (boolean separate : new boolean[] {true, false}) {
            String arm = separate ? "separation on" : "separation off";
            FleetSettings fleetSettings = FleetSettings.of(
                            settings.seed(), settings.proxies(), FleetService.kitchen(SERVERS, SLOTS))
                    .withProxySetting("separate-long-work", Boolean.toString(separate));
            try (Fleet fleet = Fleet.start(fleetSettings);
                    LoadBalancer balancer = fleet.balanceProxies()) {
                LoadSettings sending = LoadSettings.of("long" + settings.seed()).withDeadline(8_000);
                List<RequestKind> kinds =
                        List.of(RequestKind.shortRead(SHORT_MILLIS), RequestKind.longRead(LONG_MILLIS));
                Warmup.run(balancer, sending, settings.seed(), rate, kinds);
                Samples without = send(settings, balancer, sending.withRun("without"), rate, 0);
                Samples with = send(settings, balancer, sending.withRun("with"), rate, LONG_SHARE);
                Samples shortWithout = without.ofKind("short").of(AnswerClass.ANSWERED);
                Samples shortWith = with.ofKind("short").of(AnswerClass.ANSWERED);
                Samples longOnes = with.ofKind("long");
                double ratio = shortWith.percentileMillis(99) / shortWithout.percentileMillis(99);
                measures.add(Measure.of(arm + ": short p99 without long", shortWithout.percentileMillis(99), "ms"));
                measures.add(Measure.of(arm + ": short p99 with long", shortWith.percentileMillis(99), "ms"));
                measures.add(
                        separate
                                ? Measure.atMost(arm + ": ratio", ratio, "", 1.25)
                                : Measure.of(arm + ": ratio", ratio, ""));
                measures.add(Measure.of(
                        arm + ": short answered",
                        shortWith.size() / (double) with.ofKind("short").size(),
                        ""));
                String longAnswered = arm + ": long answered";
                double longShare = longOnes.of(AnswerClass.ANSWERED).size() / (double) longOnes.size();
                measures.add(
                        separate
                                ? Measure.atLeast(longAnswered, longShare, "", 1)
                                : Measure.of(longAnswered, longShare, ""));
                measures.add(Measure.of(
                        arm + ": long p50", longOnes.of(AnswerClass.ANSWERED).percentileMillis(50), "ms"));
                measures.add(Measure.of(arm + ": p99 delay of sending by the tool", with.sendDelayMillis(), "ms"));
                measures.add(Measure.atMost(arm + ": forbidden answers", with.forbidden(), "", 0));
                series.add(Measures.latencySeries("short p99 in ms, " + arm, shortWith, 99));
                Measures.reasons(with).forEach(reason -> notes.add(arm + ", " + reason));
            }
        }
        return new ExperimentResult(
                String.format(
                        "%d servers with %d slots, %.0f requests/s (%.0f%% of slots), short %.0f ms, long %.0f ms",
                        SERVERS, SLOTS, rate, UTILISATION * 100, SHORT_MILLIS, LONG_MILLIS),
                measures,
                series,
                notes);
    }

    private static Samples send(
            ExperimentSettings settings, LoadBalancer balancer, LoadSettings sending, double rate, double longShare)
            throws InterruptedException {
        // Short work arrives at the same rate in both runs.
        List<Phase.Share> mix = longShare == 0
                ? List.of(new Phase.Share(RequestKind.shortRead(SHORT_MILLIS), 1))
                : List.of(
                        new Phase.Share(RequestKind.shortRead(SHORT_MILLIS), 1 - longShare),
                        new Phase.Share(RequestKind.longRead(LONG_MILLIS), longShare));
        Phase phase =
                new Phase("mix", settings.seconds() * 1_000L, longShare == 0 ? rate * (1 - LONG_SHARE) : rate, mix);
        return LoadRunner.create(balancer, sending)
                .run(ArrivalSchedule.draw(settings.seed(), 20, List.of(phase)), FaultScript.none());
    }
}
