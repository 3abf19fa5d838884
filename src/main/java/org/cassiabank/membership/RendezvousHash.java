package org.cassiabank.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Rendezvous hashing: orders instances for a key so that the addition or removal of one instance moves only the keys
 * that it is the first choice for.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /**
     * Orders the instances for a key, first choice first. The order is the same in every process.
     *
     * @param key the key
     * @param instances the candidates
     * @return the candidates in order
     */
    public static List<Instance> order(String key, Collection<Instance> instances) {
        long keyHash = hash(key);
        /** A candidate with its weight for the key. */
        record WeightedInstance(Instance instance, long weight) {}
        List<WeightedInstance> weighted = new ArrayList<>(instances.size());
        for (Instance instance : instances) {
            weighted.add(new WeightedInstance(instance, mixBits(keyHash ^ mixBits(hash(instance.name())))));
        }
        weighted.sort(
                Comparator.comparingLong(WeightedInstance::weight).reversed().thenComparing(entry -> entry.instance()
                        .name()));
        return weighted.stream().map(WeightedInstance::instance).toList();
    }

    /**
     * Returns the first instances for a key, from different failure domains as far as possible.
     *
     * @param key the key
     * @param instances the candidates
     * @param count the number of instances to select, not negative
     * @return at most {@code count} instances: first the best one of each failure domain, then the others, both in the
     *     order for the key
     */
    public static List<Instance> selectAcrossDomains(String key, Collection<Instance> instances, int count) {
        List<Instance> ordered = order(key, instances);
        List<Instance> selected = new ArrayList<>(count);
        List<Instance> sameDomain = new ArrayList<>();
        Set<String> selectedDomains = new HashSet<>();
        for (Instance instance : ordered) {
            (selectedDomains.add(instance.region() + "/" + instance.failureDomain()) ? selected : sameDomain)
                    .add(instance);
        }
        selected.addAll(sameDomain);
        return List.copyOf(selected.subList(0, Math.min(count, selected.size())));
    }

    static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (byte utf8Byte : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (utf8Byte & 0xff)) * FNV_PRIME;
        }
        return mixBits(hash);
    }

    /** The finalizer of MurmurHash3, which spreads every input bit over all output bits. */
    static long mixBits(long hash) {
        long mixed = hash;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
