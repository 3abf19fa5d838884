package org.cassiabank.load;

import java.util.List;

/**
 * Load that is sent before a measurement and left out of its figures.
 *
 * <p>Processes that have just started compile their code. On a machine that many of them share, requests then take
 * seconds instead of milliseconds.
 */
public final class Warmup {
    private static final long DURATION_MILLIS = 12_000;
    private static final long PAUSE_MILLIS = 1_000;

    private Warmup() {}

    /**
     * Sends load for 12 s and lets the fleet rest for 1 s.
     *
     * @param balancer chooses the addresses
     * @param settings the settings of the measurement that follows
     * @param seed the seed
     * @param requestsPerSecond the requests per second
     * @param kinds the kinds in equal shares
     * @throws InterruptedException if the thread is interrupted
     */
    public static void run(
            LoadBalancer balancer, LoadSettings settings, long seed, double requestsPerSecond, List<RequestKind> kinds)
            throws InterruptedException {
        List<Phase.Share> mix =
                kinds.stream().map(kind -> new Phase.Share(kind, 1)).toList();
        ArrivalSchedule schedule =
                ArrivalSchedule.draw(seed, 20, List.of(new Phase("warm-up", DURATION_MILLIS, requestsPerSecond, mix)));
        LoadRunner.create(balancer, settings.withTokenPrefix("warm-" + settings.tokenPrefix()))
                .run(schedule, FaultScript.empty());
        Thread.sleep(PAUSE_MILLIS);
    }
}
