package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against servers that are overloaded while others are idle, because many entry proxies choose a shard by
 * information that is 50 to 500 ms old. Simulates 60 entry proxies and equal servers; owners place requests by exact
 * counts. The ratio is that of the work of the busiest server to the mean in each 5 s, the largest of all.
 */
class ShardSelectorLoadTest {
    private static final int ENTRIES = 60;
    private static final int SLOTS = 4;
    private static final double SERVICE_MILLIS = 100;
    private static final int WINDOW_MILLIS = 5_000;
    private static final int WINDOWS = 6;
    private static final int FAULT_START_MILLIS = 10_000;
    private static final int FAULT_END_MILLIS = 15_000;

    /** The servers of each shard; hashing leaves shards of different size. */
    private static final int[] SHARD_SIZES = {26, 19, 24, 21, 27, 18};

    private static final int FAULTY_SHARD = 5;
    private static final String[] DOMAINS = {"a", "a", "b", "b", "c", "c"};

    @Test
    void equalServersGetEqualLoadWhereTheFormerRuleAndRandomChoiceDoNot() {
        for (Fault fault : Fault.values()) {
            double former = ratio(Rule.FORMER, fault, 0.6);
            double random = ratio(Rule.RANDOM_SERVER, fault, 0.6);
            double selected = ratio(Rule.SELECTOR, fault, 0.6);
            assertThat(selected)
                    .as("%s", fault)
                    .isLessThan(1.2)
                    .isLessThan(former)
                    .isLessThan(random);
        }
    }

    /** Guards against refusals while other failure domains have room, and against requests that leave without need. */
    @Test
    void demandOfOneFailureDomainBeyondItsSlotsUsesTheOthersAndDemandWithinThemStays() {
        Simulation wave = new Simulation(Rule.SELECTOR, Fault.NONE, 0.6, 1);
        wave.domainCount = 1;
        wave.run();
        assertThat(wave.refused).isLessThan(wave.arrived / 100);
        assertThat((double) wave.crossed / wave.arrived).isBetween(0.45, 0.65);
        Simulation quiet = new Simulation(Rule.SELECTOR, Fault.NONE, 0.2, 1);
        quiet.domainCount = 1;
        quiet.run();
        assertThat((double) quiet.crossed / quiet.arrived).isLessThan(0.05);
    }

    private static double ratio(Rule rule, Fault fault, double utilization) {
        double worst = 0;
        for (int seed = 1; seed <= 3; seed++) {
            worst = Math.max(worst, new Simulation(rule, fault, utilization, seed).run());
        }
        return worst;
    }

    private enum Rule {
        /** A shard at random, regardless of its servers. */
        FORMER,
        RANDOM_SERVER,
        SELECTOR
    }

    /** What happens to the owner of the smallest shard for 5 s. */
    private enum Fault {
        NONE,
        /** Its replies take 500 to 1,500 ms. */
        SLOW,
        /** Another daemon takes its place without its counts; it returns with its own ones. */
        CUT_OFF,
        /** Another daemon takes its place for good, without its counts. */
        REPLACED
    }

    private record Event(double timeMillis, Runnable action) {}

    private static final class Simulation {
        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis));
        private final List<ShardSelector> selectors = new ArrayList<>();
        private final List<ShardCandidate> candidates = IntStream.range(0, SHARD_SIZES.length)
                .mapToObj(number -> new ShardCandidate(number, DOMAINS[number], SHARD_SIZES[number]))
                .toList();
        private final int totalServers = Arrays.stream(SHARD_SIZES).sum();
        /** Leases by owner (two for each shard) and server of the shard. */
        private final int[][] leases = new int[2 * SHARD_SIZES.length][];

        private final long[][] latestGrants = new long[2 * SHARD_SIZES.length][];
        private final double[][][] workMillis = new double[WINDOWS][SHARD_SIZES.length][];
        private final Random random;
        private final Rule rule;
        private final Fault fault;
        private final double arrivalsPerMilli;
        private double nowMillis;
        private long lastGrant;
        /** The failure domains whose entry proxies get requests. */
        private int domainCount = 3;

        private int arrived;
        private int refused;
        private int crossed;

        private Simulation(Rule rule, Fault fault, double utilization, long seed) {
            this.rule = rule;
            this.fault = fault;
            random = new Random(seed);
            arrivalsPerMilli = utilization * totalServers * SLOTS / SERVICE_MILLIS;
            IntStream.range(0, ENTRIES).forEach(entry -> selectors.add(ShardSelector.create()));
            for (int owner = 0; owner < leases.length; owner++) {
                leases[owner] = new int[SHARD_SIZES[owner / 2]];
                latestGrants[owner] = new long[SHARD_SIZES[owner / 2]];
            }
            for (double[][] window : workMillis) {
                Arrays.setAll(window, shard -> new double[SHARD_SIZES[shard]]);
            }
        }

        private double run() {
            at(0, this::arrive);
            while (nowMillis < WINDOWS * WINDOW_MILLIS) {
                Event event = events.remove();
                nowMillis = event.timeMillis();
                event.action().run();
            }
            double worst = 0;
            // The first window is the time in which the servers fill up.
            for (int window = 1; window < WINDOWS; window++) {
                double[] counts = Arrays.stream(workMillis[window])
                        .flatMapToDouble(Arrays::stream)
                        .toArray();
                worst = Math.max(
                        worst,
                        Arrays.stream(counts).max().orElseThrow()
                                / Arrays.stream(counts).average().orElseThrow());
            }
            return worst;
        }

        private void at(double delayMillis, Runnable action) {
            events.add(new Event(nowMillis + delayMillis, action));
        }

        private void arrive() {
            at(-Math.log(1 - random.nextDouble()) / arrivalsPerMilli, this::arrive);
            int entry = random.nextInt(ENTRIES);
            arrived++;
            switch (rule) {
                case RANDOM_SERVER -> grantRandomServer();
                case FORMER -> ask(entry, random.nextInt(SHARD_SIZES.length), false);
                case SELECTOR ->
                    ask(entry, selectors.get(entry).choose(candidates, domain(entry), random, (long) nowMillis), false);
            }
        }

        private String domain(int entry) {
            return DOMAINS[2 * (entry % domainCount)];
        }

        private void grantRandomServer() {
            int server = random.nextInt(totalServers);
            int shard = 0;
            while (server >= SHARD_SIZES[shard]) {
                server -= SHARD_SIZES[shard++];
            }
            workMillis[window()][shard][server] += serviceMillis();
        }

        private double serviceMillis() {
            return -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS;
        }

        private int window() {
            return Math.min(WINDOWS - 1, (int) (nowMillis / WINDOW_MILLIS));
        }

        private void ask(int entry, int shard, boolean again) {
            ShardSelector selector = selectors.get(entry);
            selector.recordRequest(shard);
            boolean granted = grant(shard);
            refused += again && !granted ? 1 : 0;
            crossed += granted && !DOMAINS[shard].equals(domain(entry)) ? 1 : 0;
            int[] owned = leases[owner(shard)];
            ShardOccupancy occupancy = new ShardOccupancy(
                    SLOTS * owned.length, Arrays.stream(owned).sum(), 0);
            boolean slow = fault == Fault.SLOW && shard == FAULTY_SHARD && inFault();
            at(slow ? 500 + random.nextInt(1_000) : 50 + random.nextInt(450), () -> {
                selector.recordDecision(shard);
                selector.recordOccupancy(shard, occupancy, (long) nowMillis);
                if (!granted && !again) {
                    int other = rule == Rule.SELECTOR
                            ? selector.chooseAfterRefusal(candidates, Set.of(shard), random, (long) nowMillis)
                                    .orElseThrow()
                            : (shard + 1 + random.nextInt(SHARD_SIZES.length - 1)) % SHARD_SIZES.length;
                    ask(entry, other, true);
                }
            });
        }

        private boolean grant(int shard) {
            int[] owned = leases[owner(shard)];
            // As ServerState compares servers: by leases, then by the longest time without a grant.
            long[] latest = latestGrants[owner(shard)];
            int best = 0;
            for (int server = 1; server < owned.length; server++) {
                boolean better =
                        owned[server] < owned[best] || owned[server] == owned[best] && latest[server] < latest[best];
                best = better ? server : best;
            }
            if (owned[best] >= SLOTS) {
                return false;
            }
            int chosen = best;
            owned[chosen]++;
            latest[chosen] = ++lastGrant;
            double serviceMillis = serviceMillis();
            workMillis[window()][shard][chosen] += serviceMillis;
            at(serviceMillis, () -> owned[chosen]--);
            return true;
        }

        private boolean inFault() {
            return nowMillis >= FAULT_START_MILLIS && nowMillis < FAULT_END_MILLIS;
        }

        private int owner(int shard) {
            boolean successor = shard == FAULTY_SHARD
                    && (fault == Fault.CUT_OFF && inFault()
                            || fault == Fault.REPLACED && nowMillis >= FAULT_START_MILLIS);
            return 2 * shard + (successor ? 1 : 0);
        }
    }
}
