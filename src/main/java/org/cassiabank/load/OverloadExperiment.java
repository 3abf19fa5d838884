package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;

/**
 * The experiment {@code crest}: raises the load from half of the capacity of the backend servers to three times the
 * capacity and lowers it again, with owner scheduling and with independent scheduling.
 */
final class OverloadExperiment implements Experiment {
    private static final int SERVER_COUNT = 8;
    private static final int SLOTS_PER_SERVER = 2;
    private static final double WORK_MILLIS = 50;
    private static final long HALF_LOAD_MILLIS = 8_000;
    private static final long RAMP_MILLIS = 2_000;
    private static final long RECOVERY_MILLIS = 2_000;
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
        double capacityPerSecond = SERVER_COUNT * SLOTS_PER_SERVER * 1_000 / WORK_MILLIS;
        long overloadMillis = settings.durationSeconds() * 1_000L;
        List<Phase> phases = List.of(
                Phase.of("before", HALF_LOAD_MILLIS, capacityPerSecond / 2, kind),
                Phase.of("rise", RAMP_MILLIS / 2, capacityPerSecond, kind),
                Phase.of("rise", RAMP_MILLIS / 2, capacityPerSecond * 2, kind),
                Phase.of("crest", overloadMillis, capacityPerSecond * 3, kind),
                Phase.of("after", HALF_LOAD_MILLIS, capacityPerSecond / 2, kind));
        List<Measure> measures = new ArrayList<>();
        List<Series> series = new ArrayList<>();
        List<String> notes = new ArrayList<>();
        for (String mode : List.of("owner", "independent")) {
            FleetSettings fleetSettings = FleetSettings.of(
                            settings.seed(),
                            settings.proxyCount(),
                            FleetService.kitchen(SERVER_COUNT, SLOTS_PER_SERVER))
                    .withProxySetting("scheduling", '"' + mode + '"');
            try (Fleet fleet = Fleet.start(fleetSettings);
                    LoadBalancer balancer = fleet.startProxyBalancer()) {
                LoadSettings loadSettings =
                        LoadSettings.of("crest" + settings.seed()).withDeadlineMillis(DEADLINE_MILLIS);
                Warmup.run(balancer, loadSettings, settings.seed(), capacityPerSecond / 2, List.of(kind));
                Samples samples = LoadRunner.create(balancer, loadSettings)
                        .run(ArrivalSchedule.draw(settings.seed(), 50, phases), FaultScript.empty());
                measures.addAll(evaluate(mode, samples, overloadMillis));
                series.add(Measures.rateSeries("answers/s, " + mode, samples, ObservedOutcome.ANSWERED));
                Measures.describeReasons(samples).forEach(reason -> notes.add(mode + ", " + reason));
            }
        }
        return new ExperimentResult(
                String.format(
                        "%d servers with %d slots, work %.0f ms, capacity %.0f requests/s, deadline %d ms",
                        SERVER_COUNT, SLOTS_PER_SERVER, WORK_MILLIS, capacityPerSecond, DEADLINE_MILLIS),
                measures,
                series,
                notes);
    }

    private static List<Measure> evaluate(String mode, Samples samples, long overloadMillis) {
        long overloadStartMillis = HALF_LOAD_MILLIS + RAMP_MILLIS;
        long overloadEndMillis = overloadStartMillis + overloadMillis;
        // The requested service time of the work that was answered in time during the overload, to be compared with the
        // capacity of all slots.
        double answeredWorkMillis = samples.withOutcome(ObservedOutcome.ANSWERED).all().stream()
                .filter(sample -> sample.endNanos() >= overloadStartMillis * 1_000_000
                        && sample.endNanos() < overloadEndMillis * 1_000_000
                        && sample.latencyNanos() <= DEADLINE_MILLIS * 1_000_000)
                .mapToDouble(sample -> sample.arrival().workMillis())
                .sum();
        Samples refused =
                samples.arrivedBetween(overloadStartMillis, overloadEndMillis).withOutcome(ObservedOutcome.NOT_RUN);
        long refusedWithoutRetryTime = refused.all().stream()
                .filter(sample -> sample.retryAfterMillis() < 0)
                .count();
        Samples beforeOverload = samples.arrivedBetween(1_000, HALF_LOAD_MILLIS);
        Samples afterOverload =
                samples.arrivedBetween(overloadEndMillis + RECOVERY_MILLIS, overloadEndMillis + HALF_LOAD_MILLIS);
        double p99Ratio = afterOverload.withOutcome(ObservedOutcome.ANSWERED).percentileMillis(99)
                / beforeOverload.withOutcome(ObservedOutcome.ANSWERED).percentileMillis(99);
        List<Measure> measures = new ArrayList<>();
        boolean isOwnerMode = mode.equals("owner");
        double capacityShare = answeredWorkMillis / (SERVER_COUNT * SLOTS_PER_SERVER * (double) overloadMillis);
        measures.add(
                createMeasure(isOwnerMode, true, mode + ": slot capacity answered in time", capacityShare, "", 0.95));
        measures.add(Measure.of(mode + ": refusals in the crest", refused.size(), ""));
        measures.add(createMeasure(
                isOwnerMode, false, mode + ": p99 time to a refusal", refused.percentileMillis(99), "ms", 50));
        measures.add(createMeasure(
                isOwnerMode, false, mode + ": refusals without retry time", refusedWithoutRetryTime, "", 0));
        measures.add(Measure.of(
                mode + ": p99 before",
                beforeOverload.withOutcome(ObservedOutcome.ANSWERED).percentileMillis(99),
                "ms"));
        measures.add(Measure.of(
                mode + ": p99 later than 2 s after the return",
                afterOverload.withOutcome(ObservedOutcome.ANSWERED).percentileMillis(99),
                "ms"));
        measures.add(createMeasure(isOwnerMode, false, mode + ": p99 after over p99 before", p99Ratio, "", 1.25));
        measures.add(createMeasure(
                isOwnerMode,
                false,
                mode + ": refused later than 2 s after the return",
                afterOverload.withOutcome(ObservedOutcome.NOT_RUN).size(),
                "",
                0));
        measures.add(Measure.of(mode + ": p99 delay of sending by the tool", samples.sendDelayP99Millis(), "ms"));
        measures.add(Measure.atMost(mode + ": forbidden answers", samples.countForbidden(), "", 0));
        return measures;
    }

    private static Measure createMeasure(
            boolean hasTarget, boolean atLeast, String name, double value, String unit, double limit) {
        if (!hasTarget) {
            return Measure.of(name, value, unit);
        }
        return atLeast ? Measure.atLeast(name, value, unit, limit) : Measure.atMost(name, value, unit, limit);
    }
}
