package org.cassiabank.source;

import com.google.common.flogger.FluentLogger;
import java.io.InterruptedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;

/**
 * Follows the entries of a store: the operators' configuration, the backend servers and the daemons of the fleet.
 *
 * <p>One thread reads everything once and then waits for changes; another keeps this daemon registered.
 */
public final class MetadataStoreFleetSource implements FleetSource {
    /** The common prefix of the keys under which daemons register. */
    static final String DAEMONS_PREFIX = "cassiabank/daemons/";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Silent connections are noticed by probes and by the renewal of the registration, so a watch may wait long. */
    private static final long WATCH_MILLIS = 30_000;
    /**
     * Changes that come close together are fetched by one call. A change has to be in force within 2 s, also while the
     * store takes a quarter of a second for a response.
     */
    private static final long BATCH_MILLIS = 600;

    /** The same while changes keep coming, as in a rollout: half of the time that a change may take. */
    private static final long SERIES_MILLIS = 1_000;

    /** A change that came within this time of the call was most likely there before it. */
    private static final long SERIES_GAP_MILLIS = 300;

    private static final long SHORTEST_RETRY_MILLIS = 150;
    private static final long LONGEST_RETRY_MILLIS = 350;
    private static final int LOG_INTERVAL_SECONDS = 10;
    /** Lists of one store revision that differ in what is kept after an outage have consecutive indexes. */
    private static final int INDEX_STEP_BITS = 8;

    private final PlatformAdapter adapter;
    private final MetadataStore store;
    private final Instance self;
    private final LongSupplier clock;
    private final EntryTable table = new EntryTable();
    private final LapseGuard guard = new LapseGuard();
    private final Registration registration;
    private final Map<String, ReadEntry> readEntries = new HashMap<>();
    private final CountDownLatch leaving = new CountDownLatch(1);
    private long configurationEntry;
    private FleetUpdateListener listener;
    private Map<String, Instance> published = Map.of();
    private boolean loaded;
    private boolean available = true;
    private long revision;
    private long lastIndex;
    private volatile boolean current;
    private volatile boolean registered;
    private volatile boolean stopped;

    private MetadataStoreFleetSource(PlatformAdapter adapter, MetadataStore store, Instance self, LongSupplier clock) {
        this.adapter = adapter;
        this.store = store;
        this.self = self;
        this.clock = clock;
        this.registration =
                Registration.create(store, DAEMONS_PREFIX + self.name(), InstanceListCodec.toJson(List.of(self)));
    }

    /**
     * Creates a source.
     *
     * @param adapter the language of the platform
     * @param store the store
     * @param self this daemon, as its peers are to see it
     * @param clock a clock in milliseconds that does not go back
     * @return the source
     */
    public static MetadataStoreFleetSource create(
            PlatformAdapter adapter, MetadataStore store, Instance self, LongSupplier clock) {
        return new MetadataStoreFleetSource(
                Objects.requireNonNull(adapter, "adapter"),
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(clock, "clock"));
    }

    @Override
    public void start(FleetUpdateListener newListener) {
        listener = Objects.requireNonNull(newListener, "newListener");
        Thread.ofPlatform().name("store-follower").daemon().start(this::follow);
        Thread.ofPlatform().name("store-registration").daemon().start(this::keepRegistered);
    }

    @Override
    public boolean isUpToDate() {
        return current;
    }

    @Override
    public void announceLeaving() {
        leaving.countDown();
    }

    @Override
    public void close() {
        stopped = true;
        leaving.countDown();
    }

    private void follow() {
        while (!stopped) {
            try {
                step();
                if (!available) {
                    LOGGER.atInfo().log(
                            "the store answers again at revision %d; %d instances are kept for now",
                            revision, guard.keptCount());
                }
                available = true;
                current = loaded;
            } catch (CassiabankException exception) {
                guard.noteFailure(clock.getAsLong());
                if (available) {
                    LOGGER.atWarning().log(
                            "the store does not answer, revision %d stays in force: %s",
                            revision, exception.getMessage());
                }
                available = false;
                current = false;
                pause(ThreadLocalRandom.current().nextLong(SHORTEST_RETRY_MILLIS, LONGEST_RETRY_MILLIS));
            } catch (RuntimeException exception) {
                LOGGER.atSevere().withCause(exception).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                        "following the store failed and begins anew");
                loaded = false;
                pause(LONGEST_RETRY_MILLIS);
            }
        }
    }

    private void step() {
        boolean inSeries = false;
        if (!loaded) {
            load();
        } else {
            long now = clock.getAsLong();
            // After an outage the first response has to come at once, so that the grace of lost entries begins.
            long wait = available ? Math.clamp(guard.nextReviewMillis() - now, 1, WATCH_MILLIS) : 1;
            listener.recordStoreCall("watch");
            Optional<StoreWatchResult> result = store.watch("", revision, wait);
            if (result.isEmpty()) {
                LOGGER.atInfo().log("the store no longer has the changes after revision %d; reading all", revision);
                loaded = false;
                return;
            }
            inSeries = !result.get().events().isEmpty() && clock.getAsLong() - now < SERIES_GAP_MILLIS;
            result.get().events().forEach(table::apply);
            revision = Math.max(revision, result.get().revision());
        }
        guard.noteAnswer(clock.getAsLong());
        publish();
        pause(inSeries ? SERIES_MILLIS : BATCH_MILLIS);
    }

    private void load() {
        List<StoreEntry> read = new ArrayList<>();
        long first = Long.MAX_VALUE;
        String after = "";
        boolean hasMore = true;
        while (hasMore) {
            listener.recordStoreCall("list");
            StorePage page = store.list("", after);
            first = Math.min(first, page.revision());
            read.addAll(page.entries());
            hasMore = page.hasMore() && !page.entries().isEmpty();
            after = hasMore ? page.entries().getLast().key() : after;
        }
        table.replaceAll(read);
        revision = first;
        loaded = true;
    }

    /** Publishes the instances first: requests are accepted as soon as there is a configuration. */
    private void publish() {
        publishInstances();
        publishConfiguration();
    }

    private void publishInstances() {
        Map<String, Instance> listed = new HashMap<>();
        for (StoreEntry entry : table.withPrefix(adapter.serverKeyPrefix())) {
            server(entry).ifPresent(server -> listed.put(server.name(), server));
        }
        for (StoreEntry entry : table.withPrefix(DAEMONS_PREFIX)) {
            daemon(entry).ifPresent(daemon -> listed.put(daemon.name(), daemon));
        }
        readEntries.keySet().removeIf(key -> table.find(key).isEmpty());
        registered = listed.containsKey(self.name());
        Map<String, Instance> complete = guard.complete(listed, clock.getAsLong());
        // While the store was away, a list of a peer may have come into force instead of the last one published here.
        if (complete.equals(published) && lastIndex > 0 && listener.instanceListIndex() == lastIndex) {
            return;
        }
        Map<String, Instance> former = published;
        published = complete;
        lastIndex = Math.max(Math.max(lastIndex, listener.instanceListIndex()) + 1, revision << INDEX_STEP_BITS);
        listener.install(InstanceList.of(lastIndex, complete.values()));
        if (former.isEmpty()) {
            // One line for each instance would take a good part of the time of a start.
            LOGGER.atInfo().log("first instances, revision %d: %s", revision, complete.keySet());
        } else {
            logDifferences(former, complete);
        }
    }

    private void publishConfiguration() {
        Optional<StoreEntry> entry = table.find(adapter.configurationKey());
        if (entry.isEmpty() || entry.get().revision() == configurationEntry) {
            return;
        }
        configurationEntry = entry.get().revision();
        try {
            VersionedConfiguration versionedConfiguration = adapter.parseConfiguration(entry.get());
            if (versionedConfiguration.revision() > listener.configurationRevision()) {
                listener.install(versionedConfiguration);
            }
        } catch (CassiabankException exception) {
            logUnreadable(entry.get(), exception);
        }
    }

    private Optional<Instance> server(StoreEntry entry) {
        return read(entry, () -> adapter.parseServer(entry, self.region()));
    }

    private Optional<Instance> daemon(StoreEntry entry) {
        return read(entry, () -> InstanceListCodec.parse(1, entry.value())
                .instances()
                .iterator()
                .next());
    }

    private Optional<Instance> read(StoreEntry entry, Supplier<Instance> reader) {
        ReadEntry known = readEntries.get(entry.key());
        if (known != null && known.revision() == entry.revision()) {
            return known.instance();
        }
        Optional<Instance> instance = Optional.empty();
        try {
            instance = Optional.of(reader.get());
        } catch (CassiabankException exception) {
            logUnreadable(entry, exception);
        }
        readEntries.put(entry.key(), new ReadEntry(entry.revision(), instance));
        return instance;
    }

    private static void logUnreadable(StoreEntry entry, CassiabankException problem) {
        LOGGER.atWarning().log(
                "entry %s at revision %d is not used: %s", entry.key(), entry.revision(), problem.getMessage());
    }

    private void logDifferences(Map<String, Instance> formerly, Map<String, Instance> next) {
        next.forEach((name, instance) -> {
            Instance former = formerly.get(name);
            if (former == null) {
                LOGGER.atInfo().log(
                        "%s %s appears at %s, revision %d", instance.role(), name, instance.address(), revision);
            } else if (former.state() != instance.state()) {
                LOGGER.atInfo().log("%s %s is %s, revision %d", instance.role(), name, instance.state(), revision);
            }
        });
        formerly.forEach((name, instance) -> {
            if (!next.containsKey(name)) {
                LOGGER.atInfo().log("%s %s is gone, revision %d", instance.role(), name, revision);
            }
        });
    }

    private void keepRegistered() {
        boolean answered = true;
        boolean isLeaving = false;
        while (!isLeaving) {
            try {
                listener.recordStoreCall("lease");
                if (registration.renew(registered)) {
                    LOGGER.atInfo().log("registered as %s", self.name());
                }
                answered = true;
            } catch (CassiabankException exception) {
                if (answered) {
                    LOGGER.atWarning().log("cannot renew the registration: %s", exception.getMessage());
                    if (exception.getCause() instanceof InterruptedIOException) {
                        // The call that waits for changes may use a connection that went silent as well.
                        store.dropConnections();
                    }
                }
                answered = false;
            }
            isLeaving = awaitLeaving(answered ? Registration.RENEWAL_MILLIS : LONGEST_RETRY_MILLIS);
        }
        try {
            registration.end();
        } catch (CassiabankException exception) {
            LOGGER.atInfo().log("the registration ends with its lease: %s", exception.getMessage());
        }
    }

    private boolean awaitLeaving(long millis) {
        try {
            return leaving.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return true;
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * What an entry says at a revision of the store.
     *
     * @param revision the revision of the entry
     * @param instance the instance, empty if the entry cannot be read
     */
    private record ReadEntry(long revision, Optional<Instance> instance) {}
}
