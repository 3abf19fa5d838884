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
 * Entries that claim one key while messages get lost, keepers lose their memory and list changes spread slowly. The
 * simulation follows the rules that the claims service has to keep; each rule can be switched off.
 */
final class ClaimSimulation {
    /** The rules of the protocol and the faults that may exceed what it is made for. */
    enum Option {
        /** Entries count votes that arrive after the claim time. */
        COUNT_LATE_VOTES,
        /** A restarted keeper collects records at once instead of after the claim time. */
        COLLECT_AT_ONCE,
        /** A restarted keeper votes without collecting records. */
        COLLECT_NOTHING,
        /** A restarted keeper votes although the proxies of one failure domain have not sent their records. */
        COLLECT_WITHOUT_ONE_DOMAIN,
        /** Entries ask only the keepers under their newest list. */
        ONE_SET_OF_KEEPERS,
        /** Keepers hand over only when they see a change, not a second time after the spreading time. */
        HAND_OVER_ONCE,
        /** Keepers do not hand over. */
        NO_HANDOVER,
        /** A second keeper loses its memory before the first one has recovered. */
        TWO_LOSSES,
        /** A list change takes ten times as long to spread as the rules assume. */
        SLOW_LISTS
    }

    static final int CLAIM = 10;
    static final int SPREAD = 40;
    static final int HANDOVER = 5;
    static final int WINDOW = 2 * SPREAD + HANDOVER;
    private static final int RECOVERY = WINDOW + CLAIM + HANDOVER;
    private static final int END = 700;
    private static final int KEYS = 3;

    /** Something that happens at a time. */
    record Event(long at, int order, Runnable action) {}

    /** The time from the first message of a claim to its decision. */
    record Interval(String key, long start, long end) {
        boolean overlaps(Interval other) {
            return key.equals(other.key) && start <= other.end && other.start <= end;
        }
    }

    /** A process with its own view of the list. */
    private class View {
        final ProxyListHistory history = ProxyListHistory.create(SPREAD, HANDOVER);
        int version;

        View(int version, long since) {
            this.version = version;
            history.observe(versions.get(version), since);
        }

        List<Instance> newest() {
            return versions.get(version);
        }

        /** Returns false if a newer list was seen before. */
        boolean see(int seen) {
            boolean isNew = seen > version;
            if (isNew) {
                version = seen;
                history.observe(versions.get(seen), now);
            }
            return isNew;
        }
    }

    /** A proxy as a keeper. */
    private final class Keeper extends View {
        final String name;
        ClaimTable table = ClaimTable.create(SETTINGS);
        boolean alive = true;

        Keeper(String name, int version, long since) {
            super(version, since);
            this.name = name;
        }

        /** Loses all records and recovers them from the peers. */
        void restart() {
            ClaimTable fresh = ClaimTable.create(SETTINGS);
            table = fresh;
            at(options.contains(Option.COLLECT_AT_ONCE) ? 0 : CLAIM + 1, () -> collect(fresh));
        }

        private void collect(ClaimTable into) {
            if (options.contains(Option.COLLECT_NOTHING)) {
                into.setReady(true);
                return;
            }
            int silent = options.contains(Option.COLLECT_WITHOUT_ONE_DOMAIN) ? random.nextInt(4) : -1;
            for (Instance instance : newest()) {
                if (instance.failureDomain().equals("domain-" + silent)) {
                    continue;
                }
                Keeper peer = keepers.get(instance.name());
                if (peer != this && !peer.alive) {
                    at(1, () -> collect(into));
                    return;
                }
                into.mergeRecords(ClaimHandover.recordsFor(name, peer.table.records(now), peer.newest()), now);
            }
            into.setReady(true);
        }

        void handOver(Collection<Instance> before, Collection<Instance> after) {
            if (!alive || options.contains(Option.NO_HANDOVER)) {
                return;
            }
            ClaimHandover.plan(name, table.records(now), before, after)
                    .forEach((to, records) -> at(
                            random.nextInt(HANDOVER),
                            () -> keepers.get(to).table.mergeRecords(records, now)));
        }
    }

    /** One claim of an entry proxy. */
    private final class Attempt {
        final String key;
        final String claim = "claim-" + claims++;
        final long start = now;
        final List<List<Instance>> sets;
        final Map<String, Optional<KeeperVote>> votes = new LinkedHashMap<>();
        boolean decided;

        Attempt(View entry, String key) {
            this.key = key;
            sets = options.contains(Option.ONE_SET_OF_KEEPERS)
                    ? List.of(ClaimHandover.keepers(key, entry.newest()))
                    : entry.history.keeperSets(key, now);
            sets.forEach(set -> set.forEach(keeper -> votes.put(keeper.name(), Optional.empty())));
        }

        void run() {
            for (String name : votes.keySet()) {
                send(() -> {
                    Keeper keeper = keepers.get(name);
                    if (keeper.alive) {
                        KeeperVote vote = keeper.history.isKeeper(name, key, now)
                                ? keeper.table.claim(key, claim, 1, now)
                                : KeeperVote.of(ClaimState.NOT_READY);
                        send(() -> receive(name, vote));
                    }
                });
            }
            at(options.contains(Option.COUNT_LATE_VOTES) ? 10 * CLAIM : CLAIM, this::decide);
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
            ClaimDecision decision = ClaimQuorum.decideAll(sets.stream()
                    .map(set ->
                            set.stream().map(keeper -> votes.get(keeper.name())).toList())
                    .toList());
            trace.add(now + " " + key + " " + claim + " from " + start + " " + votes + " " + decision);
            if (decision.equals(new ClaimDecision.NotRun("claim-split"))) {
                splits.add(new Interval(key, start, now));
            }
            if (!(decision instanceof ClaimDecision.Proceed)) {
                conclude(new ClaimConclusion.Released());
            } else if (random.nextInt(10) == 0) {
                at(random.nextInt(30), () -> conclude(new ClaimConclusion.Released()));
            } else {
                running.add(new Interval(key, start, now));
                switch (random.nextInt(3)) {
                    case 0 ->
                        at(
                                random.nextInt(100),
                                () -> conclude(new ClaimConclusion.Answered(
                                        new RecordedResponse(200, Map.of(), new byte[0]))));
                    case 1 -> at(random.nextInt(100), () -> conclude(new ClaimConclusion.OutcomeUnknown()));
                    default -> trace.add(now + " entry of " + claim + " dies");
                }
            }
        }

        private void conclude(ClaimConclusion conclusion) {
            for (String name : votes.keySet()) {
                Runnable delivery = () -> {
                    if (keepers.get(name).alive) {
                        keepers.get(name).table.conclude(key, claim, conclusion, now);
                    }
                };
                // Lost releases block the key for the rest of the run, so that most runs keep them.
                if (conclusion instanceof ClaimConclusion.Released && claim.hashCode() % 4 != 0) {
                    at(random.nextInt(CLAIM), delivery);
                } else {
                    send(delivery);
                }
            }
        }
    }

    private static final ClaimSettings SETTINGS = new ClaimSettings(10, 1_000, 100, 100_000, CLAIM, 100_000);

    final List<String> trace = new ArrayList<>();
    /** The claims that went ahead and may have run. */
    final List<Interval> running = new ArrayList<>();
    /** The claims whose callers were told that simultaneous claims kept each other from running. */
    final List<Interval> splits = new ArrayList<>();

    private int claims;

    private final Set<Option> options;
    private final Random random;
    private final double loss;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingInt(Event::order));
    private final Map<String, Keeper> keepers = new HashMap<>();
    private final List<List<Instance>> versions = new ArrayList<>();
    private final List<View> entries = new ArrayList<>();
    private long now;

    ClaimSimulation(long seed, Set<Option> options) {
        this.random = new Random(seed);
        this.options = options;
        this.loss = random.nextInt(4) * 0.12;
        List<Instance> first = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            first.add(proxy(number));
        }
        versions.add(first);
        for (Instance proxy : first) {
            keepers.put(proxy.name(), new Keeper(proxy.name(), 0, -WINDOW));
            keepers.get(proxy.name()).table.setReady(true);
        }
        for (int number = 0; number < 4; number++) {
            entries.add(new View(0, -WINDOW));
        }
    }

    /** Runs to the end. */
    ClaimSimulation run() {
        List<Integer> faults = new ArrayList<>();
        for (int time = random.nextInt(100); time < END; time += lossGap()) {
            faults.add(time);
            at(time, this::loseOneKeeper);
        }
        for (int change = 0; change < 3; change++) {
            faults.add(random.nextInt(END));
            at(faults.getLast(), this::addProxy);
        }
        for (int claim = 0; claim < 10 * KEYS; claim++) {
            View entry = entries.get(random.nextInt(entries.size()));
            String key = "orders/" + claim % KEYS;
            // Most claims are made close to a fault, where the rules matter.
            int time = Math.max(
                    0,
                    faults.get(random.nextInt(faults.size()))
                            + random.nextInt(claim % 2 == 0 ? 2 * SPREAD : 2 * WINDOW)
                            - 2 * CLAIM);
            at(time, () -> new Attempt(entry, key).run());
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        return this;
    }

    boolean ranTwice() {
        return running.stream().map(Interval::key).distinct().count() < running.size();
    }

    boolean ranBesideSplit() {
        return splits.stream().anyMatch(split -> running.stream().anyMatch(split::overlaps));
    }

    private long lossGap() {
        return options.contains(Option.TWO_LOSSES) ? random.nextInt(RECOVERY) : RECOVERY + random.nextInt(100);
    }

    private void loseOneKeeper() {
        List<Instance> list = versions.getLast();
        Keeper keeper = keepers.get(list.get(random.nextInt(list.size())).name());
        int kind = random.nextInt(3);
        trace.add(now + " " + List.of("restart ", "kill ", "stop ").get(kind) + keeper.name);
        if (kind == 0 || list.size() <= 3) {
            keeper.restart();
            return;
        }
        List<Instance> rest =
                list.stream().filter(proxy -> !proxy.name().equals(keeper.name)).toList();
        if (kind == 2) {
            keeper.table.setReady(false);
            keeper.handOver(keeper.newest(), rest);
        }
        keeper.alive = false;
        publish(rest);
    }

    private void addProxy() {
        Instance added = proxy(keepers.size());
        trace.add(now + " add " + added.name());
        List<Instance> list = new ArrayList<>(versions.getLast());
        list.add(added);
        publish(list);
        Keeper keeper = new Keeper(added.name(), versions.size() - 1, now);
        keepers.put(added.name(), keeper);
        keeper.restart();
    }

    private void publish(List<Instance> list) {
        versions.add(list);
        int version = versions.size() - 1;
        int spread = options.contains(Option.SLOW_LISTS) ? 10 * SPREAD : SPREAD;
        for (View entry : entries) {
            at(random.nextInt(spread), () -> entry.see(version));
        }
        for (Keeper keeper : keepers.values()) {
            at(random.nextInt(spread), () -> {
                Collection<Instance> before = keeper.newest();
                if (keeper.see(version)) {
                    keeper.handOver(before, keeper.newest());
                    if (!options.contains(Option.HAND_OVER_ONCE)) {
                        at(SPREAD, () -> keeper.handOver(before, keeper.newest()));
                    }
                }
            });
        }
    }

    private void send(Runnable delivery) {
        if (random.nextDouble() >= loss) {
            at(random.nextInt(random.nextInt(4) == 0 ? 3 * CLAIM : CLAIM / 2), delivery);
        }
    }

    private void at(long delay, Runnable action) {
        events.add(new Event(now + delay, random.nextInt(), action));
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
