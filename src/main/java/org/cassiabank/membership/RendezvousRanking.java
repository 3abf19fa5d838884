package org.cassiabank.membership;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A precomputed form of {@link RendezvousHash#selectAcrossDomains} for many keys over one list of instances. Names are
 * hashed once, and no list is sorted unless more instances are selected than there are failure domains.
 */
public final class RendezvousRanking {
    private final List<Instance> instances;
    private final long[] nameHashes;
    private final int[] domainNumbers;
    private final int domainCount;

    private RendezvousRanking(List<Instance> instances, long[] nameHashes, int[] domainNumbers, int domainCount) {
        this.instances = instances;
        this.nameHashes = nameHashes;
        this.domainNumbers = domainNumbers;
        this.domainCount = domainCount;
    }

    /**
     * Hashes the names of the instances and numbers their failure domains.
     *
     * @param candidates the instances
     * @return the ranking
     */
    public static RendezvousRanking of(Collection<Instance> candidates) {
        List<Instance> instances = List.copyOf(candidates);
        Map<String, Integer> numberByDomain = new HashMap<>();
        int[] domainNumbers = new int[instances.size()];
        long[] nameHashes = new long[instances.size()];
        for (int index = 0; index < instances.size(); index++) {
            Instance instance = instances.get(index);
            String domain = instance.region() + "/" + instance.failureDomain();
            domainNumbers[index] = numberByDomain.computeIfAbsent(domain, name -> numberByDomain.size());
            nameHashes[index] = RendezvousHash.mixBits(RendezvousHash.hash(instance.name()));
        }
        return new RendezvousRanking(instances, nameHashes, domainNumbers, numberByDomain.size());
    }

    /**
     * Selects the same instances in the same order as {@link RendezvousHash#selectAcrossDomains}.
     *
     * @param key the key
     * @param count the number of instances to select, not negative
     * @return at most {@code count} instances
     */
    public List<Instance> selectAcrossDomains(String key, int count) {
        if (domainCount < count) {
            return RendezvousHash.selectAcrossDomains(key, instances, count);
        }
        long keyHash = RendezvousHash.hash(key);
        int[] bestIndexes = new int[domainCount];
        long[] bestWeights = new long[domainCount];
        Arrays.fill(bestIndexes, -1);
        for (int index = 0; index < nameHashes.length; index++) {
            long weight = RendezvousHash.mixBits(keyHash ^ nameHashes[index]);
            int domain = domainNumbers[index];
            if (bestIndexes[domain] < 0 || isBefore(weight, index, bestWeights[domain], bestIndexes[domain])) {
                bestIndexes[domain] = index;
                bestWeights[domain] = weight;
            }
        }
        Instance[] selected = new Instance[count];
        for (int position = 0; position < count; position++) {
            int bestDomain = -1;
            for (int domain = 0; domain < domainCount; domain++) {
                if (bestIndexes[domain] >= 0
                        && (bestDomain < 0
                                || isBefore(
                                        bestWeights[domain],
                                        bestIndexes[domain],
                                        bestWeights[bestDomain],
                                        bestIndexes[bestDomain]))) {
                    bestDomain = domain;
                }
            }
            selected[position] = instances.get(bestIndexes[bestDomain]);
            bestIndexes[bestDomain] = -1;
        }
        return List.of(selected);
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
