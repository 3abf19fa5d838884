package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Measures the time from the acceptance of a change until all proxies have it in force, also while proxies are paused
 * one after the other.
 */
final class ConfigurationExperiment implements Experiment {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long LIMIT_MILLIS = 15_000;

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
        List<Double> times = new ArrayList<>();
        List<Double> numbers = new ArrayList<>();
        int reverted = 0;
        try (Fleet fleet = Fleet.start(FleetSettings.of(settings.seed(), settings.proxies(), service))) {
            long highest = 0;
            for (int change = 1; change <= settings.seconds(); change++) {
                String toml =
                        service.toToml().replace("deadline-millis = 10000", "deadline-millis = " + (10_000 + change));
                long revision = fleet.apply(toml);
                long accepted = System.nanoTime();
                Optional<Double> millis = awaitRevision(fleet, revision, accepted);
                numbers.add((double) change);
                times.add(millis.orElse(Double.NaN));
                for (FleetMember proxy : fleet.proxies()) {
                    if (FleetStatus.revision(fleet, proxy) < highest) {
                        reverted++;
                    }
                }
                highest = revision;
                Thread.sleep(INTERVAL_MILLIS);
            }
        }
        List<Double> sorted = times.stream().sorted().toList();
        return new ExperimentResult(
                settings.proxies() + " proxies, one change each second, " + times.size() + " changes",
                List.of(
                        Measure.of("median time until in force everywhere", sorted.get(sorted.size() / 2), "ms"),
                        // A change that was not in force within 15 s has no time, sorts last and misses the target.
                        Measure.atMost("longest time until in force everywhere", sorted.getLast(), "ms", 5_000),
                        Measure.atMost("proxies seen with an older revision than before", reverted, "", 0)),
                List.of(new Series("time until in force everywhere, ms", numbers, times)),
                List.of());
    }

    private static Optional<Double> awaitRevision(Fleet fleet, long revision, long accepted)
            throws InterruptedException {
        List<FleetMember> waiting = new ArrayList<>(fleet.proxies());
        while (System.nanoTime() - accepted < LIMIT_MILLIS * 1_000_000) {
            waiting.removeIf(proxy -> FleetStatus.revision(fleet, proxy) >= revision);
            if (waiting.isEmpty()) {
                return Optional.of((System.nanoTime() - accepted) / 1e6);
            }
            Thread.sleep(10);
        }
        return Optional.empty();
    }
}
