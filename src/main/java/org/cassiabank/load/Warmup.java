package org.cassiabank.load;

import java.util.List;

/**
 * Sends load before a measurement, which the measurement does not include.
 *
 * <p>Processes that have just started compile their code. If many of them share a machine, requests take seconds
 * instead of milliseconds during that time.
 */
public final class Warmup {
    private static final long DURATION_MILLIS = 12_000;
    private static final long PAUSE_MILLIS = 1_000;

    private Warmup() {}

    /**
     * Sends load for 12 s, waits for the responses and then pauses for 1 s without load.
     *
     * @param balancer the load balancer that selects the address of each request
     * @param settings the settings of the measurement that follows
     * @param seed the seed of the schedule
     * @param requestsPerSecond the mean number of requests per second
     * @param kinds the request kinds, which get equal shares
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
