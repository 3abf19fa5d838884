package org.cassiabank.health;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A service without a bad server, but with everything that can look like one: bursts of load, a service that is slow or
 * fails as a whole, cold starts, short pauses of single servers, 1% random errors.
 */
final class HealthyNoise implements ServiceSimulation.Scenario {
    private static final long WARM_UP_MILLIS = 4_000;

    private final SplittableRandom random;
    private final int[] generations;
    private final long[] startedMillis;
    private final long[] pausedUntilMillis;
    private final String[] names;
    private double load = 1;
    private double slowdown = 1;
    private double errorRate = 0.01;
    private long burstEnd;
    private long slowEnd;
    private long errorEnd;

    HealthyNoise(long seed, int servers) {
        random = new SplittableRandom(seed);
        generations = new int[servers];
        startedMillis = new long[servers];
        pausedUntilMillis = new long[servers];
        Arrays.fill(startedMillis, -100_000);
        names = IntStream.range(0, servers)
                .mapToObj(server -> "server-" + server)
                .toArray(String[]::new);
    }

    @Override
    public boolean advance(long now) {
        if (isDue(60) && burstEnd <= now) {
            burstEnd = now + random.nextLong(1_000, 5_000);
            load = random.nextDouble(2, 4);
        }
        if (isDue(200) && slowEnd <= now) {
            slowEnd = now + random.nextLong(2_000, 20_000);
            slowdown = random.nextDouble(2, 12);
        }
        if (isDue(200) && errorEnd <= now) {
            errorEnd = now + random.nextLong(2_000, 20_000);
            errorRate = random.nextDouble(0.05, 0.6);
        }
        load = burstEnd <= now ? 1 : load;
        slowdown = slowEnd <= now ? 1 : slowdown;
        errorRate = errorEnd <= now ? 0.01 : errorRate;
        int server = random.nextInt(generations.length);
        if (isDue(10)) {
            pausedUntilMillis[server] = now + random.nextLong(50, 300);
        }
        boolean isReplaced = isDue(120);
        if (isReplaced) {
            generations[server]++;
            names[server] = "server-" + server + "-" + generations[server];
            startedMillis[server] = now;
        }
        // The owner learns that a server is warm with some delay, so the list is renewed every second.
        return isReplaced || now % 1_000 == 0;
    }

    @Override
    public ServiceSimulation.Behaviour behaviour(int server, long now) {
        double coldness = Math.max(0, 1 - (now - startedMillis[server]) / (double) WARM_UP_MILLIS);
        double burst = burstEnd > now ? 2 : 1;
        return new ServiceSimulation.Behaviour(
                errorRate, slowdown * burst * (1 + 9 * coldness), pausedUntilMillis[server] > now);
    }

    @Override
    public long tickMillis() {
        return 10;
    }

    @Override
    public double load() {
        return load;
    }

    @Override
    public String name(int server) {
        return names[server];
    }

    @Override
    public List<MonitoredServer> servers(int count, long now) {
        return IntStream.range(0, count)
                .mapToObj(server ->
                        new MonitoredServer(name(server), false, now - startedMillis[server] >= WARM_UP_MILLIS / 2))
                .toList();
    }

    private boolean isDue(double everySeconds) {
        return random.nextDouble() < 0.001 * tickMillis() / everySeconds;
    }
}
