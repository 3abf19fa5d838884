package org.cassiabank.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Rendezvous hashing: orders instances for a key so that a change of one instance moves only the keys it was first for.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
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
        record Ranked(Instance instance, long weight) {}
        List<Ranked> ranked = new ArrayList<>(instances.size());
        for (Instance instance : instances) {
            ranked.add(new Ranked(instance, mix(keyHash ^ mix(hash(instance.name())))));
        }
        ranked.sort(Comparator.comparingLong(Ranked::weight).reversed().thenComparing(entry -> entry.instance()
                .name()));
        return ranked.stream().map(Ranked::instance).toList();
    }

    /**
     * Returns the first instances for a key so that they stand in different failure domains as far as possible.
     *
     * @param key the key
     * @param instances the candidates
     * @param count how many are wanted
     * @return at most {@code count} instances: first one of each failure domain, then others in order
     */
    public static List<Instance> selectAcrossDomains(String key, Collection<Instance> instances, int count) {
        List<Instance> ordered = order(key, instances);
        List<Instance> chosen = new ArrayList<>(count);
        List<Instance> others = new ArrayList<>();
        Set<String> domains = new HashSet<>();
        for (Instance instance : ordered) {
            (domains.add(instance.region() + "/" + instance.failureDomain()) ? chosen : others).add(instance);
        }
        chosen.addAll(others);
        return List.copyOf(chosen.subList(0, Math.min(count, chosen.size())));
    }

    static long hash(String text) {
        long value = FNV_OFFSET;
        for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
            value = (value ^ (next & 0xff)) * FNV_PRIME;
        }
        return mix(value);
    }

    /** The finalizer of MurmurHash3, which spreads every input bit over all output bits. */
    static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
