package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The experiment {@code configuration}: measures the time from the acceptance of a configuration change until it is in
 * force on all proxies.
 */
final class ConfigurationDelayExperiment implements Experiment {
    private static final long CHANGE_INTERVAL_MILLIS = 1_000;
    private static final long WAIT_LIMIT_MILLIS = 15_000;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public String summary() {
        return "time until a change is in force on all proxies";
    }

    @Override
    public ExperimentResult run(ExperimentSettings settings) throws InterruptedException {
        FleetService service = FleetService.kitchen(2, 2);
        List<Double> delaysMillis = new ArrayList<>();
        List<Double> changeNumbers = new ArrayList<>();
        int revertedCount = 0;
        try (Fleet fleet = Fleet.start(FleetSettings.of(settings.seed(), settings.proxyCount(), service))) {
            long previousRevision = 0;
            for (int changeNumber = 1; changeNumber <= settings.durationSeconds(); changeNumber++) {
                String toml = service.toToml()
                        .replace("deadline-millis = 10000", "deadline-millis = " + (10_000 + changeNumber));
                long revision = fleet.applyDeclarations(toml);
                long acceptedNanos = System.nanoTime();
                Optional<Double> delayMillis = awaitRevision(fleet, revision, acceptedNanos);
                changeNumbers.add((double) changeNumber);
                delaysMillis.add(delayMillis.orElse(Double.NaN));
                for (FleetMember proxy : fleet.proxies()) {
                    if (FleetStatus.activeRevision(fleet, proxy) < previousRevision) {
                        revertedCount++;
                    }
                }
                previousRevision = revision;
                Thread.sleep(CHANGE_INTERVAL_MILLIS);
            }
        }
        List<Double> sortedDelaysMillis = delaysMillis.stream().sorted().toList();
        return new ExperimentResult(
                settings.proxyCount() + " proxies, one change each second, " + delaysMillis.size() + " changes",
                List.of(
                        Measure.of(
                                "median time until in force everywhere",
                                sortedDelaysMillis.get(sortedDelaysMillis.size() / 2),
                                "ms"),
                        // A change that was not in force within 15 s has the delay NaN, sorts last and misses the
                        // target.
                        Measure.atMost(
                                "longest time until in force everywhere", sortedDelaysMillis.getLast(), "ms", 5_000),
                        Measure.atMost("proxies seen with an older revision than before", revertedCount, "", 0)),
                List.of(new Series("time until in force everywhere, ms", changeNumbers, delaysMillis)),
                List.of());
    }

    private static Optional<Double> awaitRevision(Fleet fleet, long revision, long acceptedNanos)
            throws InterruptedException {
        List<FleetMember> pendingProxies = new ArrayList<>(fleet.proxies());
        while (System.nanoTime() - acceptedNanos < WAIT_LIMIT_MILLIS * 1_000_000) {
            pendingProxies.removeIf(proxy -> FleetStatus.activeRevision(fleet, proxy) >= revision);
            if (pendingProxies.isEmpty()) {
                return Optional.of((System.nanoTime() - acceptedNanos) / 1e6);
            }
            Thread.sleep(10);
        }
        return Optional.empty();
    }
}
