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
     * Returns the different sets of keepers under several lists, in each of which a claim needs a quorum.
     *
     * @param key the idempotency key
     * @param recentLists the lists of live proxies that were in use during the window of {@link ProxyListHistory}, not
     *     empty
     * @return the sets without repetition; usually one
     */
    public static List<List<Instance>> keeperSets(String key, Collection<? extends Collection<Instance>> recentLists) {
        return distinctKeeperSets(recentLists.stream().map(proxies -> keepers(key, proxies)));
    }

    /**
     * Returns the records that a keeper sends to the proxies that become keepers of their keys. Every keeper sends its
     * records, also one that stays a keeper, because a killed keeper cannot send its own. A keeper that leaves sends
     * its records to all keepers after the change, because one of them may have lost its own.
     *
     * @param senderName the name of the sending proxy
     * @param records the records of the sending proxy
     * @param proxiesBefore the live proxies before the change
     * @param proxiesAfter the live proxies after the change; a proxy that stops leaves itself out
     * @return the records for each new keeper, by instance name; proxies that get none are not contained
     */
    public static Map<String, List<ClaimRecord>> planHandover(
            String senderName,
            List<ClaimRecord> records,
            Collection<Instance> proxiesBefore,
            Collection<Instance> proxiesAfter) {
        boolean leaving = !namesOf(proxiesAfter).contains(senderName);
        RendezvousRanking rankingBefore = RendezvousRanking.of(proxiesBefore);
        RendezvousRanking rankingAfter = RendezvousRanking.of(proxiesAfter);
        Map<String, List<ClaimRecord>> recordsByKeeper = new HashMap<>();
        for (ClaimRecord record : records) {
            Set<String> previousKeeperNames =
                    leaving ? Set.of() : namesOf(rankingBefore.selectAcrossDomains(record.key(), ClaimQuorum.KEEPERS));
            for (Instance newKeeper : rankingAfter.selectAcrossDomains(record.key(), ClaimQuorum.KEEPERS)) {
                if (!newKeeper.name().equals(senderName) && !previousKeeperNames.contains(newKeeper.name())) {
                    recordsByKeeper
                            .computeIfAbsent(newKeeper.name(), name -> new ArrayList<>())
                            .add(record);
                }
            }
        }
        return recordsByKeeper;
    }

    /**
     * Returns the records that a proxy which has just started, and has lost its records, asks another proxy for.
     *
     * @param askingProxy the name of the asking proxy
     * @param records the records of the asked proxy
     * @param proxies the live proxies; the asking proxy has to be among them
     * @return the records of which the asking proxy is a keeper
     */
    public static List<ClaimRecord> recordsFor(
            String askingProxy, List<ClaimRecord> records, Collection<Instance> proxies) {
        RendezvousRanking ranking = RendezvousRanking.of(proxies);
        return records.stream()
                .filter(record -> ranking.selectAcrossDomains(record.key(), ClaimQuorum.KEEPERS).stream()
                        .anyMatch(keeper -> keeper.name().equals(askingProxy)))
                .toList();
    }

    /** Removes repeated sets. The order of keepers in a set does not count, because votes have no order. */
    static List<List<Instance>> distinctKeeperSets(Stream<List<Instance>> keeperSets) {
        Set<Set<Instance>> seen = new HashSet<>();
        return keeperSets.filter(keepers -> seen.add(Set.copyOf(keepers))).toList();
    }

    private static Set<String> namesOf(Collection<Instance> instances) {
        return instances.stream().map(Instance::name).collect(Collectors.toSet());
    }
}
