package org.cassiabank.membership;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A list of instances prepared for {@link RendezvousHash#selectAcrossDomains} with many keys. Names are hashed once,
 * and no list is sorted.
 */
public final class RendezvousRanking {
    private final List<Instance> instances;
    private final long[] hashes;
    private final int[] domains;
    private final int domainCount;

    private RendezvousRanking(List<Instance> instances, long[] hashes, int[] domains, int domainCount) {
        this.instances = instances;
        this.hashes = hashes;
        this.domains = domains;
        this.domainCount = domainCount;
    }

    /**
     * Prepares a list.
     *
     * @param candidates the instances
     * @return the prepared list
     */
    public static RendezvousRanking of(Collection<Instance> candidates) {
        List<Instance> instances = List.copyOf(candidates);
        Map<String, Integer> numbers = new HashMap<>();
        int[] domains = new int[instances.size()];
        long[] hashes = new long[instances.size()];
        for (int index = 0; index < instances.size(); index++) {
            Instance instance = instances.get(index);
            String domain = instance.region() + "/" + instance.failureDomain();
            domains[index] = numbers.computeIfAbsent(domain, name -> numbers.size());
            hashes[index] = RendezvousHash.mix(RendezvousHash.hash(instance.name()));
        }
        return new RendezvousRanking(instances, hashes, domains, numbers.size());
    }

    /**
     * Returns the same instances in the same order as {@link RendezvousHash#selectAcrossDomains}.
     *
     * @param key the key
     * @param count how many are wanted
     * @return at most {@code count} instances
     */
    public List<Instance> selectAcrossDomains(String key, int count) {
        if (domainCount < count) {
            return RendezvousHash.selectAcrossDomains(key, instances, count);
        }
        long keyHash = RendezvousHash.hash(key);
        int[] best = new int[domainCount];
        long[] weights = new long[domainCount];
        Arrays.fill(best, -1);
        for (int index = 0; index < hashes.length; index++) {
            long weight = RendezvousHash.mix(keyHash ^ hashes[index]);
            int domain = domains[index];
            if (best[domain] < 0 || isBefore(weight, index, weights[domain], best[domain])) {
                best[domain] = index;
                weights[domain] = weight;
            }
        }
        Instance[] chosen = new Instance[count];
        for (int place = 0; place < count; place++) {
            int first = -1;
            for (int domain = 0; domain < domainCount; domain++) {
                if (best[domain] >= 0
                        && (first < 0 || isBefore(weights[domain], best[domain], weights[first], best[first]))) {
                    first = domain;
                }
            }
            chosen[place] = instances.get(best[first]);
            best[first] = -1;
        }
        return List.of(chosen);
    }

    private boolean isBefore(long weight, int index, long otherWeight, int otherIndex) {
        return weight > otherWeight
                || (weight == otherWeight
                        && instances
                                        .get(index)
                                        .name()
                                        .compareTo(instances.get(otherIndex).name())
                                < 0);
    }
}
