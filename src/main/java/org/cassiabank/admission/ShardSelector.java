package org.cassiabank.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Chooses the shard of a service that an entry proxy asks for a slot.
 *
 * <p>Two shards are drawn, weighted by their usable slots, and the one with less load for its size is chosen. Load is
 * what the owner stated in its latest reply and the requests of this entry proxy that it has not decided since. The
 * draw keeps many entry proxies with the same information from choosing the same shard.
 *
 * <p>Addresses load that many entry proxies distribute at the same moment by information that is 50 to 500 ms old.
 * Instances are not thread-safe.
 */
public final class ShardSelector {
    /** Information counts fully up to this age; its weight halves in each further time as long. */
    private static final double FRESH_MILLIS = 2_000;

    /**
     * From this load on, requests begin to leave their own failure domain; at the second one all may leave. A gradual
     * change keeps the entry proxies of a domain from leaving all at once.
     */
    private static final double ROOM_ENDS_SHARE = 0.7;

    private static final double FULL_SHARE = 0.95;

    /** Other failure domains are used fully if their load is less by this share of their slots. */
    private static final double CLEAR_DIFFERENCE_SHARE = 0.2;

    /** Stands for the slots of a shard that has none, whose load is then very high. */
    private static final double MINIMUM_SLOTS = 0.1;

    /** Shards that no longer exist are forgotten beyond this number. */
    private static final int MAXIMUM_FORMER_SHARDS = 64;

    private final Map<Integer, KnownShard> knownShards = new HashMap<>();

    private ShardSelector() {}

    /**
     * Creates a selector that knows nothing of the load of shards.
     *
     * @return the selector
     */
    public static ShardSelector create() {
        return new ShardSelector();
    }

    /**
     * Chooses the shard for a new request.
     *
     * @param candidates the shards that can run the request, not empty
     * @param ownDomain the failure domain of this entry proxy, as the candidates name it
     * @param random the source of the draw
     * @param nowMillis the current time in milliseconds
     * @return the number of a candidate
     * @throws IllegalArgumentException if there is no candidate
     */
    public int choose(List<ShardCandidate> candidates, String ownDomain, RandomGenerator random, long nowMillis) {
        if (candidates.isEmpty()) {
            throw new IllegalArgumentException("no candidates");
        }
        forgetFormerShards(candidates);
        List<Estimate> all = estimates(candidates, nowMillis);
        List<Estimate> own = inDomain(all, ownDomain);
        List<Estimate> others = all.stream()
                .filter(estimate -> !estimate.failureDomain().equals(ownDomain))
                .toList();
        boolean staysInDomain = !own.isEmpty()
                && (others.isEmpty()
                        || random.nextDouble() >= leavingProbability(relativeLoad(own), relativeLoad(others)));
        List<Estimate> drawable = staysInDomain ? own : all;
        Estimate first = draw(drawable, random);
        // With replacement: of two shards, the busier one still gets a quarter, so that their load does not swing.
        Estimate second = draw(drawable, random);
        return second.loadWithOneMore() < first.loadWithOneMore() ? second.number() : first.number();
    }

    /**
     * Chooses the shard to ask after others have refused: one of the failure domain with the most free slots.
     *
     * @param candidates the shards that can run the request
     * @param refusedShards the numbers of the shards that have refused
     * @param random the source of the draw
     * @param nowMillis the current time in milliseconds
     * @return the number of a candidate that has not refused, or empty if there is none
     */
    public OptionalInt chooseAfterRefusal(
            List<ShardCandidate> candidates, Set<Integer> refusedShards, RandomGenerator random, long nowMillis) {
        List<Estimate> left = estimates(candidates, nowMillis).stream()
                .filter(estimate -> !refusedShards.contains(estimate.number()))
                .toList();
        Map<String, Double> roomByDomain = left.stream()
                .collect(Collectors.groupingBy(Estimate::failureDomain, Collectors.summingDouble(Estimate::room)));
        List<Estimate> best = roomByDomain.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .filter(entry -> entry.getValue() > 0)
                .map(entry -> inDomain(left, entry.getKey()).stream()
                        .filter(estimate -> estimate.room() > 0)
                        .toList())
                .orElse(left);
        return best.isEmpty()
                ? OptionalInt.empty()
                : OptionalInt.of(draw(best, random).number());
    }

    /**
     * Returns the load of the shards of a failure domain relative to their usable slots.
     *
     * @param candidates the shards of the service
     * @param domain the failure domain
     * @param nowMillis the current time in milliseconds
     * @return 0 without load, 1 if as many requests are running or waiting as there are slots; 0 if no shard is there
     */
    public double relativeLoad(List<ShardCandidate> candidates, String domain, long nowMillis) {
        List<Estimate> shards = inDomain(estimates(candidates, nowMillis), domain);
        return shards.isEmpty() ? 0 : relativeLoad(shards);
    }

    /**
     * Records that a request for a slot is sent to the owner of a shard.
     *
     * @param number the number of the shard
     */
    public void recordRequest(int number) {
        shard(number).undecidedRequests++;
    }

    /**
     * Records that a request that was sent has been decided or given up.
     *
     * @param number the number of the shard
     */
    public void recordDecision(int number) {
        KnownShard shard = shard(number);
        shard.undecidedRequests = Math.max(0, shard.undecidedRequests - 1);
    }

    /**
     * Records what an owner stated in a reply.
     *
     * @param number the number of the shard
     * @param occupancy how busy the shard is
     * @param nowMillis the time of the reply in milliseconds
     */
    public void recordOccupancy(int number, ShardOccupancy occupancy, long nowMillis) {
        KnownShard shard = shard(number);
        shard.occupancy = occupancy;
        shard.statedAtMillis = nowMillis;
    }

    /**
     * Tells whether an owner of a shard has ever stated how busy it is.
     *
     * @param number the number of the shard
     * @return false if no reply was received, or only replies of daemons of a release that does not state it
     */
    public boolean hasOccupancy(int number) {
        return knownShards.containsKey(number) && knownShards.get(number).occupancy != null;
    }

    private KnownShard shard(int number) {
        return knownShards.computeIfAbsent(number, key -> new KnownShard());
    }

    private void forgetFormerShards(List<ShardCandidate> candidates) {
        if (knownShards.size() > candidates.size() + MAXIMUM_FORMER_SHARDS) {
            Set<Integer> numbers =
                    candidates.stream().map(ShardCandidate::number).collect(Collectors.toSet());
            knownShards
                    .entrySet()
                    .removeIf(entry -> !numbers.contains(entry.getKey()) && entry.getValue().undecidedRequests == 0);
        }
    }

    /** Old information moves towards the mean of the shards, as does that of shards of which nothing is known. */
    private List<Estimate> estimates(List<ShardCandidate> candidates, long nowMillis) {
        double statedSlots = 0;
        double statedLoad = 0;
        double statedServers = 0;
        for (ShardCandidate candidate : candidates) {
            KnownShard shard = shard(candidate.number());
            double weight = shard.weight(nowMillis);
            if (weight > 0) {
                statedSlots += weight * shard.occupancy.usableSlots();
                statedLoad += weight * shard.statedLoad();
                statedServers += weight * candidate.servers();
            }
        }
        double slotsPerServer = statedSlots > 0 && statedServers > 0 ? statedSlots / statedServers : 1;
        double meanLoad = statedSlots > 0 ? statedLoad / statedSlots : 0;
        return candidates.stream()
                .map(candidate -> shard(candidate.number()).estimate(candidate, slotsPerServer, meanLoad, nowMillis))
                .toList();
    }

    private static List<Estimate> inDomain(List<Estimate> estimates, String domain) {
        return estimates.stream()
                .filter(estimate -> estimate.failureDomain().equals(domain))
                .toList();
    }

    private static double relativeLoad(List<Estimate> estimates) {
        double load = estimates.stream().mapToDouble(Estimate::load).sum();
        double slots = estimates.stream().mapToDouble(Estimate::slots).sum();
        return load / slots;
    }

    /** Leaving a full domain is of no use while the others are as full. */
    private static double leavingProbability(double ownLoad, double otherLoad) {
        double pressure = (ownLoad - ROOM_ENDS_SHARE) / (FULL_SHARE - ROOM_ENDS_SHARE);
        double difference = (ownLoad - otherLoad) / CLEAR_DIFFERENCE_SHARE;
        return Math.clamp(pressure, 0.0, 1.0) * Math.clamp(difference, 0.0, 1.0);
    }

    private static Estimate draw(List<Estimate> estimates, RandomGenerator random) {
        double rest = random.nextDouble()
                * estimates.stream().mapToDouble(Estimate::slots).sum();
        for (Estimate estimate : estimates) {
            rest -= estimate.slots();
            if (rest < 0) {
                return estimate;
            }
        }
        return estimates.getLast();
    }

    /** What is known of a shard. */
    private static final class KnownShard {
        /** Null until an owner has stated it. */
        private ShardOccupancy occupancy;

        private long statedAtMillis;
        private int undecidedRequests;

        private double weight(long nowMillis) {
            if (occupancy == null) {
                return 0;
            }
            double excessMillis = Math.max(0, nowMillis - statedAtMillis - FRESH_MILLIS);
            return Math.pow(0.5, excessMillis / FRESH_MILLIS);
        }

        private double statedLoad() {
            return occupancy.leasedSlots() + occupancy.queuedRequests();
        }

        private Estimate estimate(ShardCandidate candidate, double slotsPerServer, double meanLoad, long nowMillis) {
            double weight = weight(nowMillis);
            double slots = (1 - weight) * candidate.servers() * slotsPerServer;
            double load = slots * meanLoad;
            if (weight > 0) {
                slots += weight * occupancy.usableSlots();
                load += weight * statedLoad();
            }
            return new Estimate(
                    candidate.number(),
                    candidate.failureDomain(),
                    Math.max(MINIMUM_SLOTS, slots),
                    load + undecidedRequests);
        }
    }

    /** The estimated slots of a shard and the requests that run or wait there. */
    private record Estimate(int number, String failureDomain, double slots, double load) {

        private double loadWithOneMore() {
            return (load + 1) / slots;
        }

        private double room() {
            return Math.max(0, slots - load);
        }
    }
}
