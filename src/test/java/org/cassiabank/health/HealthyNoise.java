package org.cassiabank.health;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A service without a faulty server, but with conditions that can look like one: bursts of load, a service that is slow
 * or fails as a whole, cold starts, short pauses of single servers, 1% random errors.
 */
final class HealthyNoise implements ServiceSimulation.Scenario {
    private static final long WARM_UP_MILLIS = 4_000;

    private final SplittableRandom random;
    private final int[] generations;
    private final long[] startedMillis;
    private final long[] pausedUntilMillis;
    private final String[] names;
    private double loadFactor = 1;
    private double slowdown = 1;
    private double errorRate = 0.01;
    private long burstEndMillis;
    private long slowEndMillis;
    private long errorEndMillis;

    HealthyNoise(long seed, int serverCount) {
        random = new SplittableRandom(seed);
        generations = new int[serverCount];
        startedMillis = new long[serverCount];
        pausedUntilMillis = new long[serverCount];
        Arrays.fill(startedMillis, -100_000);
        names = IntStream.range(0, serverCount)
                .mapToObj(server -> "server-" + server)
                .toArray(String[]::new);
    }

    @Override
    public boolean advance(long nowMillis) {
        if (isDue(60) && burstEndMillis <= nowMillis) {
            burstEndMillis = nowMillis + random.nextLong(1_000, 5_000);
            loadFactor = random.nextDouble(2, 4);
        }
        if (isDue(200) && slowEndMillis <= nowMillis) {
            slowEndMillis = nowMillis + random.nextLong(2_000, 20_000);
            slowdown = random.nextDouble(2, 12);
        }
        if (isDue(200) && errorEndMillis <= nowMillis) {
            errorEndMillis = nowMillis + random.nextLong(2_000, 20_000);
            errorRate = random.nextDouble(0.05, 0.6);
        }
        loadFactor = burstEndMillis <= nowMillis ? 1 : loadFactor;
        slowdown = slowEndMillis <= nowMillis ? 1 : slowdown;
        errorRate = errorEndMillis <= nowMillis ? 0.01 : errorRate;
        int server = random.nextInt(generations.length);
        if (isDue(10)) {
            pausedUntilMillis[server] = nowMillis + random.nextLong(50, 300);
        }
        boolean isReplaced = isDue(120);
        if (isReplaced) {
            generations[server]++;
            names[server] = "server-" + server + "-" + generations[server];
            startedMillis[server] = nowMillis;
        }
        // The owner is told with a delay that a server is warm, so the list is updated once a second.
        return isReplaced || nowMillis % 1_000 == 0;
    }

    @Override
    public ServiceSimulation.Behaviour behaviour(int server, long nowMillis) {
        double remainingColdShare = Math.max(0, 1 - (nowMillis - startedMillis[server]) / (double) WARM_UP_MILLIS);
        double burstSlowdown = burstEndMillis > nowMillis ? 2 : 1;
        return new ServiceSimulation.Behaviour(
                errorRate,
                slowdown * burstSlowdown * (1 + 9 * remainingColdShare),
                pausedUntilMillis[server] > nowMillis);
    }

    @Override
    public long tickMillis() {
        return 10;
    }

    @Override
    public double loadFactor() {
        return loadFactor;
    }

    @Override
    public String name(int server) {
        return names[server];
    }

    @Override
    public List<MonitoredServer> servers(int count, long nowMillis) {
        return IntStream.range(0, count)
                .mapToObj(server -> MonitoredServer.ofUnknownDomain(
                        name(server), false, nowMillis - startedMillis[server] >= WARM_UP_MILLIS / 2))
                .toList();
    }

    private boolean isDue(double meanIntervalSeconds) {
        return random.nextDouble() < 0.001 * tickMillis() / meanIntervalSeconds;
    }
}
