package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Plays random histories of a store that comes back from older copies, with late responses, reads in pages and changes
 * passed on between daemons. Guards against a configuration that goes back and against daemons that end in another
 * state than the store.
 */
class StoreErasPropertiesTest {
    private static final int STEPS = 250;
    private static final int DAEMONS = 3;
    private static final int PAGE_SIZE = 2;
    private static final int SERVERS = 5;

    private final Random random = new Random();
    private final ModelStore store = new ModelStore();
    private final List<Daemon> daemons = new ArrayList<>();
    private long nowMillis = 1_000_000;
    /** Whether the store keeps its contents from now on. */
    private boolean settling;

    @Property(tries = 200)
    void whatIsInForceNeverGoesBackAndEachDaemonEndsInTheStateOfTheStore(@ForAll long seed) {
        StoreErasPropertiesTest history = new StoreErasPropertiesTest();
        history.random.setSeed(seed);
        history.play();
    }

    private void play() {
        for (int number = 0; number < DAEMONS; number++) {
            daemons.add(new Daemon());
        }
        for (int step = 0; step < STEPS; step++) {
            nowMillis += random.nextInt(500);
            switch (random.nextInt(10)) {
                case 0, 1 -> store.writeConfiguration(store.lastVersion + 1 + random.nextInt(3));
                case 2, 3 -> store.writeServer(random.nextInt(SERVERS));
                case 4 -> store.removeServer(random.nextInt(SERVERS));
                case 5 -> store.saveCopy();
                case 6 -> {
                    if (random.nextInt(4) == 0) {
                        store.restore(random);
                    }
                }
                default -> daemons.get(random.nextInt(DAEMONS)).follow();
            }
        }
        settling = true;
        // The operators write again what the store has lost.
        store.writeConfiguration(store.lastVersion + 1);
        nowMillis += DepartedServers.DISTRUST_MILLIS + OutageGracePeriod.GRACE_MILLIS;
        for (int round = 0; round < 6; round++) {
            daemons.forEach(Daemon::followPromptly);
            nowMillis += DepartedServers.DISTRUST_MILLIS;
        }
        for (Daemon daemon : daemons) {
            assertThat(daemon.version).isEqualTo(store.lastVersion);
            assertThat(daemon.instances.instances()).extracting(Instance::name).hasSameElementsAs(store.serverNames());
            assertThat(daemon.table.revision().era()).isEqualTo(store.era);
        }
    }

    /** The contents of a store with its history; responses are computed at the time of the call. */
    private static final class ModelStore {
        private final TreeMap<String, StoreEntry> entries = new TreeMap<>();
        private final List<StoreEvent> events = new ArrayList<>();
        private final List<SavedCopy> copies = new ArrayList<>();
        private long era = 1;
        private long number = 1;
        private long lastVersion = 1;

        private void writeConfiguration(long version) {
            lastVersion = version;
            write("op/config", Long.toString(version));
        }

        private void writeServer(int server) {
            write("servers/s" + server, "s" + server);
        }

        private void removeServer(int server) {
            if (entries.remove("servers/s" + server) != null) {
                events.add(new StoreEvent.Removed("servers/s" + server, new StoreRevision(era, ++number)));
            }
        }

        private void write(String key, String value) {
            StoreEntry entry =
                    new StoreEntry(key, value.getBytes(StandardCharsets.UTF_8), new StoreRevision(era, ++number));
            entries.put(key, entry);
            events.add(new StoreEvent.Written(entry));
        }

        private void saveCopy() {
            copies.add(new SavedCopy(new TreeMap<>(entries), List.copyOf(events), number));
        }

        private void restore(Random random) {
            if (copies.isEmpty()) {
                return;
            }
            SavedCopy copy = copies.get(random.nextInt(copies.size()));
            era++;
            number = copy.number();
            entries.clear();
            copy.entries().forEach((key, entry) -> entries.put(key, inCurrentEra(entry)));
            events.clear();
            copy.events().forEach(event -> events.add(inCurrentEra(event)));
        }

        private StoreEntry inCurrentEra(StoreEntry entry) {
            return new StoreEntry(
                    entry.key(),
                    entry.value(),
                    new StoreRevision(era, entry.revision().number()));
        }

        private StoreEvent inCurrentEra(StoreEvent event) {
            return switch (event) {
                case StoreEvent.Written written -> new StoreEvent.Written(inCurrentEra(written.entry()));
                case StoreEvent.Removed removed ->
                    new StoreEvent.Removed(
                            removed.key(),
                            new StoreRevision(era, removed.revision().number()));
            };
        }

        private StorePage page(String afterKey) {
            List<StoreEntry> page = entries.tailMap(afterKey, false).values().stream()
                    .limit(PAGE_SIZE)
                    .toList();
            boolean hasMore =
                    !page.isEmpty() && entries.higherKey(page.getLast().key()) != null;
            return new StorePage(page, hasMore, new StoreRevision(era, number));
        }

        /** Compares numbers only, as the store does. */
        private Optional<StoreWatchResult> changesAfter(StoreRevision after) {
            if (after.number() > number) {
                return Optional.empty();
            }
            List<StoreEvent> later = events.stream()
                    .filter(event -> event.revision().number() > after.number())
                    .toList();
            return Optional.of(new StoreWatchResult(later, new StoreRevision(era, number)));
        }

        private List<String> serverNames() {
            return entries.keySet().stream()
                    .filter(key -> key.startsWith("servers/"))
                    .map(key -> key.substring("servers/".length()))
                    .toList();
        }
    }

    private record SavedCopy(TreeMap<String, StoreEntry> entries, List<StoreEvent> events, long number) {}

    /** Follows the store with the classes of a daemon; a response may arrive after the store has changed. */
    private final class Daemon implements FleetUpdateListener {
        private final StoreEntryTable table = new StoreEntryTable();
        private final StoreChangeLog changeLog = StoreChangeLog.create(() -> nowMillis, 1_000);
        private final EntryPublisher publisher =
                EntryPublisher.create(new TextAdapter(), "region", new OutageGracePeriod());
        private long latestEra;
        private long version;
        private InstanceList instances = InstanceList.empty();
        private Optional<StoreWatchResult> lateChanges = Optional.empty();

        @Override
        public void recordConfirmation(StateConfirmation confirmation) {}

        private void follow() {
            if (!table.isCompleteIn(latestEra)) {
                readAllEntries();
                return;
            }
            switch (random.nextInt(4)) {
                case 0 -> lateChanges = store.changesAfter(table.revision());
                case 1 -> lateChanges.ifPresent(this::apply);
                case 2 -> relayFrom(daemons.get(random.nextInt(DAEMONS)));
                default -> followPromptly();
            }
        }

        private void followPromptly() {
            if (!table.isCompleteIn(latestEra)) {
                readAllEntries();
            } else {
                Optional<StoreWatchResult> changes = store.changesAfter(table.revision());
                changes.ifPresent(result ->
                        latestEra = Math.max(latestEra, result.revision().era()));
                changes.ifPresentOrElse(this::apply, table::invalidate);
            }
            if (!table.isCompleteIn(latestEra)) {
                readAllEntries();
            }
        }

        private void apply(StoreWatchResult changes) {
            if (table.apply(changes)) {
                changeLog.append(changes);
                publish();
            }
        }

        private void relayFrom(Daemon watcher) {
            watcher.changeLog.confirm(nowMillis);
            watcher.changeLog.setWatching(true);
            switch (watcher.changeLog.awaitChanges(table.revision(), 0)) {
                case StoreRelayReply.Current current -> apply(current.changes());
                case StoreRelayReply.OtherEra other -> latestEra = Math.max(latestEra, other.era());
                case StoreRelayReply.Unavailable unavailable -> {}
            }
        }

        private void readAllEntries() {
            List<StorePage> pages = new ArrayList<>();
            String afterKey = "";
            do {
                pages.add(store.page(afterKey));
                afterKey = pages.getLast().entries().isEmpty()
                        ? ""
                        : pages.getLast().entries().getLast().key();
                if (!settling && random.nextInt(40) == 0) {
                    store.restore(random);
                }
            } while (pages.getLast().hasMore());
            latestEra = Math.max(latestEra, pages.getLast().revision().era());
            StoreRevision formerRevision = table.revision();
            if (table.replaceAll(pages)) {
                if (table.revision().era() > formerRevision.era() && formerRevision.era() > 0) {
                    publisher.recordRestoration(table.revision(), nowMillis);
                }
                changeLog.restart(table.revision());
                publish();
            }
        }

        private void publish() {
            publisher.publish(table, this, nowMillis);
        }

        @Override
        public long configurationRevision() {
            return version;
        }

        @Override
        public long instanceListIndex() {
            return instances.index();
        }

        @Override
        public boolean install(VersionedConfiguration versionedConfiguration) {
            assertThat(versionedConfiguration.revision()).isGreaterThanOrEqualTo(version);
            version = versionedConfiguration.revision();
            return true;
        }

        @Override
        public boolean install(InstanceList newInstances) {
            assertThat(newInstances.index()).isGreaterThan(instances.index());
            instances = newInstances;
            return true;
        }

        @Override
        public void recordStoreCall(String kind) {}
    }

    /** Reads entries whose values are the version of the configuration or the name of the server. */
    private static final class TextAdapter implements PlatformAdapter {
        @Override
        public String name() {
            return "text";
        }

        @Override
        public MetadataStore openStore(URI address) {
            throw new UnsupportedOperationException();
        }

        @Override
        public HeaderConventions headerConventions() {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<Long> parseStopGraceMillis(String text) {
            return Optional.empty();
        }

        @Override
        public Optional<QuotaBoundSettings> parseQuotaBounds(String text) {
            return Optional.empty();
        }

        @Override
        public PropagationTimes parsePropagationTimes(String text) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RetryBudgetSettings parseRetryBudget(String text) {
            throw new UnsupportedOperationException();
        }

        @Override
        public String configurationKey() {
            return "op/config";
        }

        @Override
        public String serverKeyPrefix() {
            return "servers/";
        }

        @Override
        public VersionedConfiguration parseConfiguration(StoreEntry entry) {
            return new VersionedConfiguration(
                    Long.parseLong(new String(entry.value(), StandardCharsets.UTF_8)), List.of());
        }

        @Override
        public Instance parseServer(StoreEntry entry, String defaultRegion) {
            return new Instance(
                    new String(entry.value(), StandardCharsets.UTF_8),
                    InstanceRole.BACKEND,
                    "127.0.0.1:" + (1 + entry.value()[1]),
                    defaultRegion,
                    "domain",
                    InstanceState.LIVE,
                    Map.of(),
                    1,
                    1);
        }
    }
}
