package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Raises demand to three times the capacity and lowers it again, with owner and with independent scheduling.
 */
final class CrestExperiment implements Experiment {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;
    private static final double WORK_MILLIS = 50;
    private static final long CALM_MILLIS = 8_000;
    private static final long RAMP_MILLIS = 2_000;
    private static final long RETURN_MILLIS = 2_000;
    private static final long DEADLINE_MILLIS = 1_000;

    @Override
    public String name() {
        return "crest";
    }

    @Override
    public String summary() {
        return "demand of three times the capacity, owner against independent scheduling";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        RequestKind kind = RequestKind.shortRead(WORK_MILLIS);
        double capacity = SERVERS * SLOTS * 1_000 / WORK_MILLIS;
        long crestMillis = settings.seconds() * 1_000L;
        List<Phase> phases = List.of(
                Phase.of("before", CALM_MILLIS, capacity / 2, kind),
                Phase.of("rise", RAMP_MILLIS / 2, capacity, kind),
                Phase.of("rise", RAMP_MILLIS / 2, capacity * 2, kind),
                Phase.of("crest", crestMillis, capacity * 3, kind),
                Phase.of("after", CALM_MILLIS, capacity / 2, kind));
        List<Measure> measures = new ArrayList<>();
        List<Series> series = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        for (String mode : List.of("owner", "independent")) {
            FleetSettings fleetSettings = FleetSettings.of(
                            settings.seed(), settings.proxies(), FleetService.kitchen(SERVERS, SLOTS))
                    .withProxySetting("scheduling", '"' + mode + '"');
            try (Fleet fleet = Fleet.start(fleetSettings);
                    LoadBalancer balancer = fleet.balanceProxies()) {
                LoadSettings sending =
                        LoadSettings.of("crest" + settings.seed()).withDeadline(DEADLINE_MILLIS);
                Warmup.run(balancer, sending, settings.seed(), capacity / 2, List.of(kind));
                Samples samples = LoadRunner.create(balancer, sending)
                        .run(ArrivalSchedule.draw(settings.seed(), 50, phases), FaultScript.none());
                measures.addAll(evaluate(mode, samples, crestMillis));
                series.add(Measures.rateSeries("answers/s, " + mode, samples, AnswerClass.ANSWERED));
                Measures.reasons(samples).forEach(reason -> notes.add(mode + ", " + reason));
            }
        }
        return new ExperimentResult(
                String.format(
                        "%d servers with %d slots, work %.0f ms, capacity %.0f requests/s, deadline %d ms",
                        SERVERS, SLOTS, WORK_MILLIS, capacity, DEADLINE_MILLIS),
                measures,
                series,
                notes);
    }

    private static List<Measure> evaluate(String mode, Samples samples, long crestMillis) {
        long crestStart = CALM_MILLIS + RAMP_MILLIS;
        long crestEnd = crestStart + crestMillis;
        // Work that ended during the crest, by the service time that it asked for, against what all slots can do.
        double busyMillis = samples.of(AnswerClass.ANSWERED).all().stream()
                .filter(sample -> sample.endNanos() >= crestStart * 1_000_000
                        && sample.endNanos() < crestEnd * 1_000_000
                        && sample.latencyNanos() <= DEADLINE_MILLIS * 1_000_000)
                .mapToDouble(sample -> sample.arrival().workMillis())
                .sum();
        Samples refused = samples.between(crestStart, crestEnd).of(AnswerClass.NOT_RUN);
        long withoutRetryTime = refused.all().stream()
                .filter(sample -> sample.retryAfterMillis() < 0)
                .count();
        Samples before = samples.between(1_000, CALM_MILLIS);
        Samples after = samples.between(crestEnd + RETURN_MILLIS, crestEnd + CALM_MILLIS);
        double ratio = after.of(AnswerClass.ANSWERED).percentileMillis(99)
                / before.of(AnswerClass.ANSWERED).percentileMillis(99);
        List<Measure> measures = new ArrayList<>();
        boolean owner = mode.equals("owner");
        double used = busyMillis / (SERVERS * SLOTS * (double) crestMillis);
        measures.add(target(owner, true, mode + ": slot capacity answered in time", used, "", 0.95));
        measures.add(Measure.of(mode + ": refusals in the crest", refused.size(), ""));
        measures.add(target(owner, false, mode + ": p99 time to a refusal", refused.percentileMillis(99), "ms", 50));
        measures.add(target(owner, false, mode + ": refusals without retry time", withoutRetryTime, "", 0));
        measures.add(Measure.of(
                mode + ": p99 before", before.of(AnswerClass.ANSWERED).percentileMillis(99), "ms"));
        measures.add(Measure.of(
                mode + ": p99 later than 2 s after the return",
                after.of(AnswerClass.ANSWERED).percentileMillis(99),
                "ms"));
        measures.add(target(owner, false, mode + ": p99 after over p99 before", ratio, "", 1.25));
        measures.add(target(
                owner,
                false,
                mode + ": refused later than 2 s after the return",
                after.of(AnswerClass.NOT_RUN).size(),
                "",
                0));
        measures.add(Measure.of(mode + ": p99 delay of sending by the tool", samples.sendDelayMillis(), "ms"));
        measures.add(Measure.atMost(mode + ": forbidden answers", samples.forbidden(), "", 0));
        return measures;
    }

    private static Measure target(
            boolean applies, boolean atLeast, String name, double value, String unit, double limit) {
        if (!applies) {
            return Measure.of(name, value, unit);
        }
        return atLeast ? Measure.atLeast(name, value, unit, limit) : Measure.atMost(name, value, unit, limit);
    }
}
