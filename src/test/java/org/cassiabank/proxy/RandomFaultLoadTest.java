package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against sound servers that get nothing while requests fail, in fleets and faults drawn at random. */
class RandomFaultLoadTest {
    private static final int SEEDS = 60;
    private static final double DURATION_MILLIS = 40_000;

    /** The platform's share of the sound servers that must get requests while a tenth of all is not served. */
    private static final double FLOOR_SHARE = 0.7;

    private static final double FLOOR_WINDOW_MILLIS = 2_000;

    private static final double FIRST_ROUTE_SHARE = 0.62;
    private static final double TIMEOUT_FACTOR = 5;

    @Test
    void soundServersGetRequestsWhileOthersFailOrAreSlow() {
        List<String> violations = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            List<Double> times =
                    simulate(seed).run().timesWithIdleSoundServers(DURATION_MILLIS, FLOOR_WINDOW_MILLIS, FLOOR_SHARE);
            if (!times.isEmpty()) {
                violations.add("seed %d: %d times from %.2f s to %.2f s"
                        .formatted(seed, times.size(), times.getFirst() / 1_000, times.getLast() / 1_000));
            }
        }
        assertThat(violations).isEmpty();
    }

    private static OwnerSimulation simulate(int seed) {
        Random random = new Random(seed * 7_919L);
        int servers = 7 + random.nextInt(15);
        int slots = 5 + random.nextInt(6);
        int entries = random.nextBoolean() ? 6 : 48;
        double load = 0.25 + 0.6 * random.nextDouble();
        double firstMeanMillis = 150 + random.nextInt(1_200);
        double secondMeanMillis = 300 + random.nextInt(1_500);
        double meanMillis = FIRST_ROUTE_SHARE * firstMeanMillis + (1 - FIRST_ROUTE_SHARE) * secondMeanMillis;
        double requestsPerSecond = load * servers * slots / meanMillis * 1_000;
        OwnerSimulation simulation = OwnerSimulation.create(servers, slots, entries, seed);
        simulation.addLongTailedLoad(
                "first",
                firstMeanMillis,
                0.8,
                timeoutMillis(firstMeanMillis),
                DURATION_MILLIS,
                requestsPerSecond * FIRST_ROUTE_SHARE);
        double secondRate = requestsPerSecond * (1 - FIRST_ROUTE_SHARE);
        if (random.nextInt(4) == 0) {
            simulation.addLoad(
                    secondMeanMillis, false, timeoutMillis(secondMeanMillis), DURATION_MILLIS, time -> secondRate);
        } else {
            simulation.addLongTailedLoad(
                    "second", secondMeanMillis, 0.5, timeoutMillis(secondMeanMillis), DURATION_MILLIS, secondRate);
        }
        int disruptions = 2 + random.nextInt(4);
        Disruption former = new Disruption(0, List.of());
        for (int disruption = 0; disruption < disruptions; disruption++) {
            former = addDisruption(simulation, servers, former, random);
        }
        return simulation;
    }

    /** Half of the disruptions begin soon after another one has ended, at servers that it has spared. */
    private static Disruption addDisruption(OwnerSimulation simulation, int servers, Disruption former, Random random) {
        boolean follows = !former.servers().isEmpty() && random.nextBoolean();
        double startMillis = follows ? former.endMillis() + random.nextInt(4_000) : 4_000 + random.nextInt(26_000);
        double endMillis = startMillis + 1_500 + random.nextInt(6_500);
        double affectedShare = 0.1 + 0.6 * random.nextDouble();
        List<Integer> affected = new ArrayList<>(IntStream.range(0, servers)
                .filter(server -> !follows || !former.servers().contains(server))
                .boxed()
                .toList());
        Collections.shuffle(affected, random);
        affected = affected.subList(0, Math.clamp((int) (affectedShare * servers), 1, affected.size()));
        int kind = random.nextInt(7);
        double failingShare = 0.3 + 0.7 * random.nextDouble();
        switch (kind) {
            case 0, 1, 2, 3 ->
                affected.forEach(server -> simulation.addFaultyTime(
                        server, startMillis, endMillis, failingShare, SimulatedFault.Kind.values()[kind]));
            case 4, 5 -> {
                double slowdown = 2 + 6 * random.nextDouble();
                affected.forEach(server -> simulation.addSlowTime(server, startMillis, endMillis, slowdown));
            }
            default ->
                simulation.addReset(startMillis, 0.2 + 0.8 * random.nextDouble(), 0.3 + 0.7 * random.nextDouble());
        }
        return new Disruption(endMillis, affected);
    }

    private static long timeoutMillis(double meanMillis) {
        return (long) Math.max(2_000, TIMEOUT_FACTOR * meanMillis);
    }

    /** The end of a disruption in virtual milliseconds, and the servers that it may affect. */
    private record Disruption(double endMillis, List<Integer> servers) {}
}
