package org.cassiabank.once;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Simulates entry proxies that claim the same keys while messages get lost, keepers lose their records and list changes
 * reach processes at different times. The simulation follows the rules that {@link org.cassiabank.once} states; each
 * rule can be broken. Times are simulated milliseconds; equal seeds give equal runs.
 */
final class ClaimSimulation {
    /** Rules of the protocol to break, and faults beyond those that the protocol tolerates. */
    enum Deviation {
        /** Entry proxies count votes that arrive after the claim timeout. */
        COUNT_LATE_VOTES,
        /** A restarted keeper collects records at once instead of after the claim timeout. */
        COLLECT_WITHOUT_DELAY,
        /** A restarted keeper votes without collecting records. */
        COLLECT_NOTHING,
        /** A restarted keeper votes although the proxies of one failure domain have not sent their records. */
        COLLECT_WITHOUT_ONE_DOMAIN,
        /** Entry proxies ask only the keepers under their newest list. */
        ASK_NEWEST_KEEPERS_ONLY,
        /** Keepers hand over only when they observe a change, not a second time after the propagation time. */
        HAND_OVER_ONCE,
        /** Keepers do not hand over. */
        NO_HANDOVER,
        /** A second keeper loses its records before the first one has recovered. */
        OVERLAPPING_KEEPER_FAILURES,
        /** A list change takes up to ten times as long to reach every process as the rules assume. */
        SLOW_LIST_CHANGES
    }

    static final int CLAIM_TIMEOUT_MILLIS = 10;
    /** The longest time that a list change takes to reach every process, unless lists are slow. */
    static final int PROPAGATION_MILLIS = 40;

    static final int HANDOVER_MILLIS = 5;
    static final int WINDOW_MILLIS = 2 * PROPAGATION_MILLIS + HANDOVER_MILLIS;
    /** The time from the failure of a keeper to the recovery of its records, after which another one may fail. */
    private static final int RECOVERY_MILLIS = WINDOW_MILLIS + CLAIM_TIMEOUT_MILLIS + HANDOVER_MILLIS;

    private static final int END_MILLIS = 700;
    private static final int KEY_COUNT = 3;

    /** An action at a time; the random tie-breaker orders actions of the same time. */
    record Event(long atMillis, int tieBreaker, Runnable action) {}

    /** The time from the first message of a claim to its decision. */
    record Interval(String key, long startMillis, long endMillis) {
        boolean overlaps(Interval other) {
            return key.equals(other.key) && startMillis <= other.endMillis && other.startMillis <= endMillis;
        }
    }

    /** The lists of proxies that one process has observed. */
    private class ProxyListView {
        final ProxyListHistory history = ProxyListHistory.create(PROPAGATION_MILLIS, HANDOVER_MILLIS);
        int version;

        ProxyListView(int version, long sinceMillis) {
            this.version = version;
            history.observe(listVersions.get(version), sinceMillis);
        }

        List<Instance> newestList() {
            return listVersions.get(version);
        }

        /** Observes a list; returns false if the process has already observed it or a newer one. */
        boolean observeVersion(int observedVersion) {
            boolean isNew = observedVersion > version;
            if (isNew) {
                version = observedVersion;
                history.observe(listVersions.get(observedVersion), nowMillis);
            }
            return isNew;
        }
    }

    /** A proxy in its role of keeper. */
    private final class Keeper extends ProxyListView {
        final String name;
        ClaimTable table = ClaimTable.create(SETTINGS);
        boolean alive = true;

        Keeper(String name, int version, long sinceMillis) {
            super(version, sinceMillis);
            this.name = name;
        }

        /** Drops all records and collects them from the peers after the claim timeout. */
        void restart() {
            ClaimTable emptyTable = ClaimTable.create(SETTINGS);
            table = emptyTable;
            schedule(
                    deviations.contains(Deviation.COLLECT_WITHOUT_DELAY) ? 0 : CLAIM_TIMEOUT_MILLIS + 1,
                    () -> collectRecords(emptyTable));
        }

        private void collectRecords(ClaimTable recoveringTable) {
            if (deviations.contains(Deviation.COLLECT_NOTHING)) {
                recoveringTable.setReady(true);
                return;
            }
            int omittedDomain = deviations.contains(Deviation.COLLECT_WITHOUT_ONE_DOMAIN) ? random.nextInt(4) : -1;
            for (Instance instance : newestList()) {
                if (instance.failureDomain().equals("domain-" + omittedDomain)) {
                    continue;
                }
                Keeper peer = keepers.get(instance.name());
                if (peer != this && !peer.alive) {
                    schedule(1, () -> collectRecords(recoveringTable));
                    return;
                }
                recoveringTable.mergeRecords(
                        ClaimHandover.recordsFor(name, peer.table.records(nowMillis), peer.newestList()), nowMillis);
            }
            recoveringTable.setReady(true);
        }

        void handOver(Collection<Instance> proxiesBefore, Collection<Instance> proxiesAfter) {
            if (!alive || deviations.contains(Deviation.NO_HANDOVER)) {
                return;
            }
            ClaimHandover.planHandover(name, table.records(nowMillis), proxiesBefore, proxiesAfter)
                    .forEach((receiverName, records) -> schedule(
                            random.nextInt(HANDOVER_MILLIS),
                            () -> keepers.get(receiverName).table.mergeRecords(records, nowMillis)));
        }
    }

    /** One claim of an entry proxy, from its first message to its conclusion. */
    private final class ClaimAttempt {
        final String key;
        final String claimId = "claim-" + nextClaimNumber++;
        final long startMillis = nowMillis;
        final List<List<Instance>> keeperSets;
        final Map<String, Optional<KeeperVote>> votes = new LinkedHashMap<>();
        boolean decided;

        ClaimAttempt(ProxyListView entryProxy, String key) {
            this.key = key;
            keeperSets = deviations.contains(Deviation.ASK_NEWEST_KEEPERS_ONLY)
                    ? List.of(ClaimHandover.keepers(key, entryProxy.newestList()))
                    : entryProxy.history.keeperSets(key, nowMillis);
            keeperSets.forEach(set -> set.forEach(keeper -> votes.put(keeper.name(), Optional.empty())));
        }

        void run() {
            for (String name : votes.keySet()) {
                send(() -> {
                    Keeper keeper = keepers.get(name);
                    if (keeper.alive) {
                        KeeperVote vote = keeper.history.isKeeper(name, key, nowMillis)
                                ? keeper.table.claim(key, claimId, 1, nowMillis)
                                : KeeperVote.of(ClaimState.NOT_READY);
                        send(() -> receive(name, vote));
                    }
                });
            }
            schedule(
                    deviations.contains(Deviation.COUNT_LATE_VOTES) ? 10 * CLAIM_TIMEOUT_MILLIS : CLAIM_TIMEOUT_MILLIS,
                    this::decide);
        }

        private void receive(String name, KeeperVote vote) {
            votes.put(name, Optional.of(vote));
            if (votes.values().stream().allMatch(Optional::isPresent)) {
                decide();
            }
        }

        private void decide() {
            if (decided) {
                return;
            }
            decided = true;
            ClaimDecision decision = ClaimQuorum.decideAll(keeperSets.stream()
                    .map(set ->
                            set.stream().map(keeper -> votes.get(keeper.name())).toList())
                    .toList());
            trace.add(nowMillis + " " + key + " " + claimId + " from " + startMillis + " " + votes + " " + decision);
            if (decision.equals(new ClaimDecision.NotRun("claim-split"))) {
                splits.add(new Interval(key, startMillis, nowMillis));
            }
            if (!(decision instanceof ClaimDecision.Proceed)) {
                conclude(new ClaimConclusion.Released());
            } else if (random.nextInt(10) == 0) {
                schedule(random.nextInt(30), () -> conclude(new ClaimConclusion.Released()));
            } else {
                runs.add(new Interval(key, startMillis, nowMillis));
                switch (random.nextInt(3)) {
                    case 0 ->
                        schedule(
                                random.nextInt(100),
                                () -> conclude(new ClaimConclusion.Answered(
                                        new RecordedResponse(200, Map.of(), new byte[0]))));
                    case 1 -> schedule(random.nextInt(100), () -> conclude(new ClaimConclusion.OutcomeUnknown()));
                    default -> trace.add(nowMillis + " entry proxy of " + claimId + " is killed");
                }
            }
        }

        private void conclude(ClaimConclusion conclusion) {
            for (String name : votes.keySet()) {
                Runnable delivery = () -> {
                    if (keepers.get(name).alive) {
                        keepers.get(name).table.conclude(key, claimId, conclusion, nowMillis);
                    }
                };
                // A lost release blocks the key for the rest of the simulation, so most claims never lose it.
                if (conclusion instanceof ClaimConclusion.Released && claimId.hashCode() % 4 != 0) {
                    schedule(random.nextInt(CLAIM_TIMEOUT_MILLIS), delivery);
                } else {
                    send(delivery);
                }
            }
        }
    }

    private static final ClaimSettings SETTINGS =
            new ClaimSettings(10, 1_000, 100, 100_000, CLAIM_TIMEOUT_MILLIS, 100_000);

    final List<String> trace = new ArrayList<>();
    /** The claims that proceeded and whose requests may have run. */
    final List<Interval> runs = new ArrayList<>();
    /** The claims whose callers were told that the request did not run because of a simultaneous claim. */
    final List<Interval> splits = new ArrayList<>();

    private int nextClaimNumber;

    private final Set<Deviation> deviations;
    private final Random random;
    private final double lossProbability;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingInt(Event::tieBreaker));
    private final Map<String, Keeper> keepers = new HashMap<>();
    private final List<List<Instance>> listVersions = new ArrayList<>();
    private final List<ProxyListView> entryProxies = new ArrayList<>();
    private long nowMillis;

    ClaimSimulation(long seed, Set<Deviation> deviations) {
        this.random = new Random(seed);
        this.deviations = deviations;
        this.lossProbability = random.nextInt(4) * 0.12;
        List<Instance> initialProxies = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            initialProxies.add(proxy(number));
        }
        listVersions.add(initialProxies);
        for (Instance proxy : initialProxies) {
            keepers.put(proxy.name(), new Keeper(proxy.name(), 0, -WINDOW_MILLIS));
            keepers.get(proxy.name()).table.setReady(true);
        }
        for (int number = 0; number < 4; number++) {
            entryProxies.add(new ProxyListView(0, -WINDOW_MILLIS));
        }
    }

    /** Simulates all faults, list changes and claims until no event is left. */
    ClaimSimulation run() {
        List<Integer> faultTimesMillis = new ArrayList<>();
        for (int timeMillis = random.nextInt(100); timeMillis < END_MILLIS; timeMillis += nextFailureDelayMillis()) {
            faultTimesMillis.add(timeMillis);
            schedule(timeMillis, this::failOneKeeper);
        }
        for (int change = 0; change < 3; change++) {
            faultTimesMillis.add(random.nextInt(END_MILLIS));
            schedule(faultTimesMillis.getLast(), this::addProxy);
        }
        for (int claim = 0; claim < 10 * KEY_COUNT; claim++) {
            ProxyListView entryProxy = entryProxies.get(random.nextInt(entryProxies.size()));
            String key = "orders/" + claim % KEY_COUNT;
            // Most claims are made close to a fault, where the rules matter.
            int timeMillis = Math.max(
                    0,
                    faultTimesMillis.get(random.nextInt(faultTimesMillis.size()))
                            + random.nextInt(claim % 2 == 0 ? 2 * PROPAGATION_MILLIS : 2 * WINDOW_MILLIS)
                            - 2 * CLAIM_TIMEOUT_MILLIS);
            schedule(timeMillis, () -> new ClaimAttempt(entryProxy, key).run());
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        return this;
    }

    boolean anyKeyRanTwice() {
        return runs.stream().map(Interval::key).distinct().count() < runs.size();
    }

    boolean anyKeyRanDuringSplit() {
        return splits.stream().anyMatch(split -> runs.stream().anyMatch(split::overlaps));
    }

    private long nextFailureDelayMillis() {
        return deviations.contains(Deviation.OVERLAPPING_KEEPER_FAILURES)
                ? random.nextInt(RECOVERY_MILLIS)
                : RECOVERY_MILLIS + random.nextInt(100);
    }

    private void failOneKeeper() {
        List<Instance> list = listVersions.getLast();
        Keeper keeper = keepers.get(list.get(random.nextInt(list.size())).name());
        int faultKind = random.nextInt(3);
        trace.add(nowMillis + " " + List.of("restart ", "kill ", "stop ").get(faultKind) + keeper.name);
        if (faultKind == 0 || list.size() <= 3) {
            keeper.restart();
            return;
        }
        List<Instance> remaining =
                list.stream().filter(proxy -> !proxy.name().equals(keeper.name)).toList();
        if (faultKind == 2) {
            keeper.table.setReady(false);
            keeper.handOver(keeper.newestList(), remaining);
        }
        keeper.alive = false;
        publish(remaining);
    }

    private void addProxy() {
        Instance added = proxy(keepers.size());
        trace.add(nowMillis + " add " + added.name());
        List<Instance> list = new ArrayList<>(listVersions.getLast());
        list.add(added);
        publish(list);
        Keeper keeper = new Keeper(added.name(), listVersions.size() - 1, nowMillis);
        keepers.put(added.name(), keeper);
        keeper.restart();
    }

    private void publish(List<Instance> list) {
        listVersions.add(list);
        int version = listVersions.size() - 1;
        int propagationMillis =
                deviations.contains(Deviation.SLOW_LIST_CHANGES) ? 10 * PROPAGATION_MILLIS : PROPAGATION_MILLIS;
        for (ProxyListView entryProxy : entryProxies) {
            schedule(random.nextInt(propagationMillis), () -> entryProxy.observeVersion(version));
        }
        for (Keeper keeper : keepers.values()) {
            schedule(random.nextInt(propagationMillis), () -> {
                Collection<Instance> before = keeper.newestList();
                if (keeper.observeVersion(version)) {
                    keeper.handOver(before, keeper.newestList());
                    if (!deviations.contains(Deviation.HAND_OVER_ONCE)) {
                        schedule(PROPAGATION_MILLIS, () -> keeper.handOver(before, keeper.newestList()));
                    }
                }
            });
        }
    }

    private void send(Runnable delivery) {
        if (random.nextDouble() >= lossProbability) {
            schedule(
                    random.nextInt(random.nextInt(4) == 0 ? 3 * CLAIM_TIMEOUT_MILLIS : CLAIM_TIMEOUT_MILLIS / 2),
                    delivery);
        }
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, random.nextInt(), action));
    }

    private static Instance proxy(int number) {
        return Instance.of(
                "proxy-" + number,
                InstanceRole.PROXY,
                "127.0.0.1:" + (10_000 + number),
                "region",
                "domain-" + number % 4,
                InstanceState.LIVE);
    }
}
