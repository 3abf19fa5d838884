package org.cassiabank.once;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.RendezvousHash;
import org.cassiabank.membership.RendezvousRanking;

/**
 * Finds the keepers of keys and the records that go to new keepers when the list of proxies changes.
 */
public final class ClaimHandover {

    private ClaimHandover() {}

    /**
     * Returns the keepers of a key under one list. {@link ProxyListHistory} gives those under all recent lists.
     *
     * @param key the idempotency key
     * @param proxies the live proxies of the region
     * @return at most {@link ClaimQuorum#KEEPERS} proxies, in different failure domains as far as possible
     */
    public static List<Instance> keepers(String key, Collection<Instance> proxies) {
        return RendezvousHash.selectAcrossDomains(key, proxies, ClaimQuorum.KEEPERS);
    }

    /**
     * Returns the different sets of keepers under several lists, all of which a claim has to win.
     *
     * @param key the idempotency key
     * @param recentLists the live proxies now and as they were during the last handover time, not empty
     * @return the sets without repetition; usually one
     */
    public static List<List<Instance>> keeperSets(String key, Collection<? extends Collection<Instance>> recentLists) {
        return withoutRepetition(recentLists.stream().map(proxies -> keepers(key, proxies)));
    }

    /**
     * Returns what a keeper sends to the proxies that become keepers of its records. Every keeper sends its records,
     * also one that stays a keeper, because a killed keeper cannot send its own. A keeper that leaves sends its records
     * to all keepers after the change, because one of them may have lost its own.
     *
     * @param self the name of the sending proxy
     * @param records the records of the sending proxy
     * @param before the live proxies before the change
     * @param after the live proxies after the change; a proxy that stops leaves itself out
     * @return the records for each new keeper, by instance name; proxies that get none are not contained
     */
    public static Map<String, List<ClaimRecord>> plan(
            String self, List<ClaimRecord> records, Collection<Instance> before, Collection<Instance> after) {
        boolean leaves = !names(after).contains(self);
        RendezvousRanking rankingBefore = RendezvousRanking.of(before);
        RendezvousRanking rankingAfter = RendezvousRanking.of(after);
        Map<String, List<ClaimRecord>> plan = new HashMap<>();
        for (ClaimRecord record : records) {
            Set<String> old =
                    leaves ? Set.of() : names(rankingBefore.selectAcrossDomains(record.key(), ClaimQuorum.KEEPERS));
            for (Instance keeper : rankingAfter.selectAcrossDomains(record.key(), ClaimQuorum.KEEPERS)) {
                if (!keeper.name().equals(self) && !old.contains(keeper.name())) {
                    plan.computeIfAbsent(keeper.name(), name -> new ArrayList<>())
                            .add(record);
                }
            }
        }
        return plan;
    }

    /**
     * Returns the records that a proxy should hold, for a proxy that has just started and asks for them.
     *
     * @param peer the name of the asking proxy
     * @param records the records of the asked proxy
     * @param proxies the live proxies; the asking proxy has to be among them
     * @return the records of which the asking proxy is a keeper
     */
    public static List<ClaimRecord> recordsFor(String peer, List<ClaimRecord> records, Collection<Instance> proxies) {
        RendezvousRanking ranking = RendezvousRanking.of(proxies);
        return records.stream()
                .filter(record -> ranking.selectAcrossDomains(record.key(), ClaimQuorum.KEEPERS).stream()
                        .anyMatch(keeper -> keeper.name().equals(peer)))
                .toList();
    }

    /** Sets with the same keepers in another order count as the same, because votes have no order. */
    static List<List<Instance>> withoutRepetition(Stream<List<Instance>> sets) {
        Set<Set<Instance>> known = new HashSet<>();
        return sets.filter(keepers -> known.add(Set.copyOf(keepers))).toList();
    }

    private static Set<String> names(Collection<Instance> instances) {
        return instances.stream().map(Instance::name).collect(Collectors.toSet());
    }
}
