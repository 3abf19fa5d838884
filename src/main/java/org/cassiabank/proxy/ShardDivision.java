package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cassiabank.admission.ShardCandidate;
import org.cassiabank.declaration.LabeledServer;

/**
 * The division of the servers of a service into shards. It depends only on the list of servers, so that all daemons
 * with the same list compute the same one.
 *
 * <p>A service of at most 32 servers is one shard. A larger one is divided by failure domain; the servers of small
 * domains share shards. Without a large domain, or with only one domain, it is divided by hash alone. The numbers and
 * the servers of the shards of one domain depend on this domain alone. A further shard of a domain takes servers from
 * the others and moves none between them. The numbers from 0 on are also divided by hash alone, for the requests of
 * daemons of the previous release.
 *
 * <p>Addresses load whose messages between failure domains are its most expensive resource. Thread-safe.
 */
final class ShardDivision {
    /** Limits the average size of a shard: a small share of a proxy's work; services of common sizes have one shard. */
    static final int SERVERS_PER_SHARD = 32;

    /** Fewer servers are too few to compare with each other and to even out their load. */
    static final int MINIMUM_DOMAIN_SERVERS = 8;

    /** The shards of a domain are numbered from a multiple of this number on. */
    private static final int DOMAIN_NUMBER_STEP = 1 << 16;

    private static final int DOMAIN_NUMBERS = (1 << 15) - 1;

    /** A prime close to 2^32 divided by the golden ratio, for a multiplicative hash. */
    private static final int HASH_FACTOR = 0x9E3779B1;

    /** The multiplier of the generator that the authors of the jump consistent hash use. */
    private static final long JUMP_MULTIPLIER = 2_862_933_555_777_941_757L;

    private static final double JUMP_RANGE = 1L << 31;
    private static final int JUMP_SHIFT = 33;

    private final List<Shard> shards;
    private final List<ShardCandidate> candidates;
    private final Map<Integer, Shard> shardsByNumber = new HashMap<>();
    private final Map<Integer, List<LabeledServer>> mixedServersByNumber;

    private ShardDivision(List<Shard> shards, Map<Integer, List<LabeledServer>> mixedServersByNumber) {
        this.shards = List.copyOf(shards);
        this.candidates = shards.stream()
                .map(shard -> new ShardCandidate(
                        shard.number(),
                        shard.failureDomain().map(FailureDomain::toString).orElse(""),
                        shard.servers().size()))
                .toList();
        this.mixedServersByNumber = mixedServersByNumber;
        shards.forEach(shard -> shardsByNumber.put(shard.number(), shard));
    }

    /**
     * Divides the servers of a service.
     *
     * @param servers all servers of the service, leaving ones included
     * @return the division, with at least one shard
     */
    static ShardDivision of(List<LabeledServer> servers) {
        int mixedCount = shardCount(servers.size());
        Map<Integer, List<LabeledServer>> mixed = new TreeMap<>();
        for (int number = 0; number < mixedCount; number++) {
            mixed.put(number, new ArrayList<>());
        }
        for (LabeledServer server : servers) {
            int number = Math.floorMod(server.instance().name().hashCode() * HASH_FACTOR, mixedCount);
            mixed.get(number).add(server);
        }
        List<Shard> shards = new ArrayList<>();
        SortedMap<FailureDomain, List<LabeledServer>> serversByDomain = largeDomains(servers);
        boolean oneDomain = servers.stream()
                        .map(server -> FailureDomain.of(server.instance()))
                        .distinct()
                        .count()
                <= 1;
        if (mixedCount == 1 || oneDomain || serversByDomain.isEmpty()) {
            mixed.forEach((number, shardServers) -> shards.add(new Shard(number, Optional.empty(), shardServers)));
            return new ShardDivision(shards, mixed);
        }
        Map<Integer, FailureDomain> domainsByFirstNumber = new TreeMap<>();
        serversByDomain
                .keySet()
                .forEach(domain -> domainsByFirstNumber.put(firstNumber(domain, domainsByFirstNumber), domain));
        domainsByFirstNumber.forEach(
                (firstNumber, domain) -> shards.addAll(shardsOf(domain, firstNumber, serversByDomain.get(domain))));
        return new ShardDivision(shards, mixed);
    }

    /**
     * Returns the shards in the order of their numbers.
     *
     * @return at least one shard; each server is in one of them
     */
    List<Shard> shards() {
        return shards;
    }

    /** Returns the shards for the choice of one of them, each with all its servers. */
    List<ShardCandidate> candidates() {
        return candidates;
    }

    boolean isByFailureDomain() {
        return shards.getFirst().number() >= DOMAIN_NUMBER_STEP;
    }

    /** Returns the failure domain whose proxies own a shard, empty if it is of no domain. */
    Optional<FailureDomain> failureDomain(int shardNumber) {
        return Optional.ofNullable(shardsByNumber.get(shardNumber)).flatMap(Shard::failureDomain);
    }

    /** Returns the servers of a shard, which may be one by which a daemon of the previous release divides. */
    List<LabeledServer> servers(int shardNumber) {
        Shard shard = shardsByNumber.get(shardNumber);
        return shard != null ? shard.servers() : mixedServersByNumber.getOrDefault(shardNumber, List.of());
    }

    /** Returns how many shards a daemon of the previous release divides the service into; their numbers start at 0. */
    int mixedShardCount() {
        return mixedServersByNumber.size();
    }

    private static int shardCount(int serverCount) {
        return Math.max(1, (serverCount + SERVERS_PER_SHARD - 1) / SERVERS_PER_SHARD);
    }

    /**
     * Groups the servers by failure domain. A domain that becomes too small joins a group of all small domains, so that
     * only its own servers change their shard. If that group is too small itself, its servers join a large domain, if
     * possible one that needs no further shard for them.
     */
    private static SortedMap<FailureDomain, List<LabeledServer>> largeDomains(List<LabeledServer> servers) {
        SortedMap<FailureDomain, List<LabeledServer>> serversByDomain = new TreeMap<>();
        servers.forEach(server -> serversByDomain
                .computeIfAbsent(FailureDomain.of(server.instance()), domain -> new ArrayList<>())
                .add(server));
        List<LabeledServer> others = new ArrayList<>();
        serversByDomain.values().removeIf(domainServers -> {
            boolean small = domainServers.size() < MINIMUM_DOMAIN_SERVERS;
            if (small) {
                others.addAll(domainServers);
            }
            return small;
        });
        if (!serversByDomain.isEmpty() && !others.isEmpty()) {
            FailureDomain joined = others.size() < MINIMUM_DOMAIN_SERVERS
                    ? domainWithRoom(serversByDomain, others.size())
                    : FailureDomain.NONE;
            serversByDomain.computeIfAbsent(joined, domain -> new ArrayList<>()).addAll(others);
        }
        return serversByDomain;
    }

    /** Returns the first domain whose number of shards stays the same with further servers, or else the first one. */
    private static FailureDomain domainWithRoom(
            SortedMap<FailureDomain, List<LabeledServer>> serversByDomain, int furtherServers) {
        return serversByDomain.entrySet().stream()
                .filter(entry -> shardCount(entry.getValue().size() + furtherServers)
                        == shardCount(entry.getValue().size()))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseGet(serversByDomain::firstKey);
    }

    /** Returns a number that depends on the domain alone, unless another domain has the same one. */
    private static int firstNumber(FailureDomain domain, Map<Integer, FailureDomain> taken) {
        int slot = Math.floorMod(domain.toString().hashCode() * HASH_FACTOR, DOMAIN_NUMBERS);
        while (taken.containsKey((slot + 1) * DOMAIN_NUMBER_STEP)) {
            slot = (slot + 1) % DOMAIN_NUMBERS;
        }
        return (slot + 1) * DOMAIN_NUMBER_STEP;
    }

    private static List<Shard> shardsOf(FailureDomain domain, int firstNumber, List<LabeledServer> servers) {
        int count = shardCount(servers.size());
        Map<Integer, List<LabeledServer>> serversByIndex = new TreeMap<>();
        for (LabeledServer server : servers) {
            int index = jumpHash(server.instance().name().hashCode() * (long) HASH_FACTOR, count);
            serversByIndex.computeIfAbsent(index, key -> new ArrayList<>()).add(server);
        }
        Optional<FailureDomain> owners = domain.equals(FailureDomain.NONE) ? Optional.empty() : Optional.of(domain);
        List<Shard> shards = new ArrayList<>();
        serversByIndex.forEach(
                (index, shardServers) -> shards.add(new Shard(firstNumber + index, owners, shardServers)));
        return shards;
    }

    /** The jump consistent hash of Lamping and Veach: a further bucket takes its keys from all others equally. */
    private static int jumpHash(long key, int buckets) {
        long state = key;
        long bucket = -1;
        long next = 0;
        while (next < buckets) {
            bucket = next;
            state = state * JUMP_MULTIPLIER + 1;
            next = (long) ((bucket + 1) * (JUMP_RANGE / ((state >>> JUMP_SHIFT) + 1)));
        }
        return (int) bucket;
    }

    /**
     * One shard of a service.
     *
     * @param number the number of the shard
     * @param failureDomain the domain of its owners, empty if they come from all domains
     * @param servers its servers, leaving ones included
     */
    record Shard(int number, Optional<FailureDomain> failureDomain, List<LabeledServer> servers) {
        Shard {
            servers = List.copyOf(servers);
        }
    }
}
