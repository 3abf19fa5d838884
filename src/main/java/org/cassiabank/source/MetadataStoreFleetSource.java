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
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;

/**
 * Publishes the operators' configuration, the backend servers and the daemons of the fleet from a metadata store.
 *
 * <p>One thread reads all entries once and then watches for changes; another keeps this daemon registered.
 */
public final class MetadataStoreFleetSource implements FleetSource {
    /** The common prefix of the keys under which daemons register. */
    static final String DAEMONS_PREFIX = "cassiabank/daemons/";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** A watch may wait this long because TCP keep-alive probes and lease renewals detect silent connections. */
    private static final long WATCH_WAIT_MILLIS = 30_000;
    /**
     * Pause between watch calls, so that changes in quick succession are fetched by one call. A change has to be in
     * force within 2 s, also while the store takes 250 ms for a response.
     */
    private static final long BATCH_INTERVAL_MILLIS = 600;

    /** Pause while changes keep arriving, as in a rollout: half of the 2 s within which a change has to be in force. */
    private static final long SERIES_BATCH_INTERVAL_MILLIS = 1_000;

    /** A change that a watch returns within this time most likely happened before the call. */
    private static final long SERIES_DETECTION_MILLIS = 300;

    private static final long MINIMUM_RETRY_DELAY_MILLIS = 150;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 350;
    /** Lists of one store revision that differ in the instances retained after an outage have consecutive indexes. */
    private static final int INDEX_BITS_PER_REVISION = 8;

    private final PlatformAdapter adapter;
    private final MetadataStore store;
    private final Instance self;
    private final LongSupplier clockMillis;
    private final StoreEntryTable entryTable = new StoreEntryTable();
    private final OutageGracePeriod outageGracePeriod = new OutageGracePeriod();
    private final Registration registration;
    private final Map<String, ParsedEntry> parsedEntries = new HashMap<>();
    private final CountDownLatch leavingLatch = new CountDownLatch(1);
    private long configurationEntryRevision;
    private FleetUpdateListener listener;
    private Map<String, Instance> publishedInstances = Map.of();
    private boolean entriesLoaded;
    private boolean storeAvailable = true;
    private long storeRevision;
    private long publishedIndex;
    private volatile boolean upToDate;
    private volatile boolean selfListed;
    private volatile boolean closed;

    private MetadataStoreFleetSource(
            PlatformAdapter adapter, MetadataStore store, Instance self, LongSupplier clockMillis) {
        this.adapter = adapter;
        this.store = store;
        this.self = self;
        this.clockMillis = clockMillis;
        this.registration =
                Registration.create(store, DAEMONS_PREFIX + self.name(), InstanceListCodec.toJson(List.of(self)));
    }

    /**
     * Creates a source that reads nothing before {@link #start}.
     *
     * @param adapter the adapter that parses the entries of the platform
     * @param store the store that holds the entries
     * @param self this daemon, as it is registered for its peers
     * @param clockMillis a monotonic clock in milliseconds
     * @return the source
     * @throws NullPointerException if an argument is null
     */
    public static MetadataStoreFleetSource create(
            PlatformAdapter adapter, MetadataStore store, Instance self, LongSupplier clockMillis) {
        return new MetadataStoreFleetSource(
                Objects.requireNonNull(adapter, "adapter"),
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(clockMillis, "clockMillis"));
    }

    @Override
    public void start(FleetUpdateListener newListener) {
        listener = Objects.requireNonNull(newListener, "newListener");
        BackgroundTasks.startLoop(Thread.ofPlatform().daemon(), "store-follower", () -> !closed, this::followStore);
        BackgroundTasks.startLoop(
                Thread.ofPlatform().daemon(), "store-registration", () -> !closed, this::keepRegistered);
    }

    @Override
    public boolean isUpToDate() {
        return upToDate;
    }

    @Override
    public void announceLeaving() {
        leavingLatch.countDown();
    }

    @Override
    public void close() {
        closed = true;
        leavingLatch.countDown();
    }

    private void followStore() {
        while (!closed) {
            try {
                readAndPublish();
                if (!storeAvailable) {
                    LOGGER.atInfo().log(
                            "the store answers again at revision %d; %d unlisted instances are retained",
                            storeRevision, outageGracePeriod.retainedCount());
                }
                storeAvailable = true;
                upToDate = entriesLoaded;
            } catch (CassiabankException exception) {
                outageGracePeriod.recordFailure(clockMillis.getAsLong());
                if (storeAvailable) {
                    LOGGER.atWarning().log(
                            "the store does not answer, revision %d stays in force: %s",
                            storeRevision, exception.getMessage());
                }
                storeAvailable = false;
                upToDate = false;
                pause(ThreadLocalRandom.current().nextLong(MINIMUM_RETRY_DELAY_MILLIS, MAXIMUM_RETRY_DELAY_MILLIS));
            } catch (RuntimeException | Error failure) {
                // The table may hold a part of the changes only, so all entries are read again.
                entriesLoaded = false;
                upToDate = false;
                BackgroundTasks.recordFailure("store-follower", failure);
                pause(MAXIMUM_RETRY_DELAY_MILLIS);
            }
        }
    }

    private void readAndPublish() {
        boolean inSeries = false;
        if (!entriesLoaded) {
            loadAllEntries();
        } else {
            long callStartMillis = clockMillis.getAsLong();
            // The first call after a failure waits only 1 ms, so that the grace period starts without delay.
            long waitMillis = storeAvailable
                    ? Math.clamp(outageGracePeriod.nextEvaluationMillis() - callStartMillis, 1, WATCH_WAIT_MILLIS)
                    : 1;
            listener.recordStoreCall("watch");
            Optional<StoreWatchResult> result = store.watch("", storeRevision, waitMillis);
            if (result.isEmpty()) {
                LOGGER.atInfo().log(
                        "the store has discarded changes after revision %d; reading all entries again", storeRevision);
                entriesLoaded = false;
                return;
            }
            inSeries = !result.get().events().isEmpty()
                    && clockMillis.getAsLong() - callStartMillis < SERIES_DETECTION_MILLIS;
            result.get().events().forEach(entryTable::apply);
            storeRevision = Math.max(storeRevision, result.get().revision());
        }
        outageGracePeriod.recordResponse(clockMillis.getAsLong());
        publish();
        pause(inSeries ? SERIES_BATCH_INTERVAL_MILLIS : BATCH_INTERVAL_MILLIS);
    }

    private void loadAllEntries() {
        List<StoreEntry> allEntries = new ArrayList<>();
        long lowestRevision = Long.MAX_VALUE;
        String afterKey = "";
        boolean hasMore = true;
        while (hasMore) {
            listener.recordStoreCall("list");
            StorePage page = store.list("", afterKey);
            lowestRevision = Math.min(lowestRevision, page.revision());
            allEntries.addAll(page.entries());
            hasMore = page.hasMore() && !page.entries().isEmpty();
            afterKey = hasMore ? page.entries().getLast().key() : afterKey;
        }
        entryTable.replaceAll(allEntries);
        storeRevision = lowestRevision;
        entriesLoaded = true;
    }

    /** Publishes the instances before the configuration, because a daemon with a configuration accepts requests. */
    private void publish() {
        publishInstances();
        publishConfiguration();
    }

    private void publishInstances() {
        Map<String, Instance> listed = new HashMap<>();
        for (StoreEntry entry : entryTable.withPrefix(adapter.serverKeyPrefix())) {
            parseServer(entry).ifPresent(server -> listed.put(server.name(), server));
        }
        for (StoreEntry entry : entryTable.withPrefix(DAEMONS_PREFIX)) {
            parseDaemon(entry).ifPresent(daemon -> listed.put(daemon.name(), daemon));
        }
        parsedEntries.keySet().removeIf(key -> entryTable.find(key).isEmpty());
        selfListed = listed.containsKey(self.name());
        Map<String, Instance> instancesToPublish = outageGracePeriod.addRetained(listed, clockMillis.getAsLong());
        // During an outage of the store a list from a peer may have replaced the last list published here.
        if (instancesToPublish.equals(publishedInstances)
                && publishedIndex > 0
                && listener.instanceListIndex() == publishedIndex) {
            return;
        }
        Map<String, Instance> previousInstances = publishedInstances;
        publishedInstances = instancesToPublish;
        publishedIndex = Math.max(
                Math.max(publishedIndex, listener.instanceListIndex()) + 1, storeRevision << INDEX_BITS_PER_REVISION);
        listener.install(InstanceList.of(publishedIndex, instancesToPublish.values()));
        if (previousInstances.isEmpty()) {
            // One log line for each instance would take a considerable part of the startup time.
            LOGGER.atInfo().log("first instance list, revision %d: %s", storeRevision, instancesToPublish.keySet());
        } else {
            logDifferences(previousInstances, instancesToPublish);
        }
    }

    private void publishConfiguration() {
        Optional<StoreEntry> entry = entryTable.find(adapter.configurationKey());
        if (entry.isEmpty() || entry.get().revision() == configurationEntryRevision) {
            return;
        }
        configurationEntryRevision = entry.get().revision();
        try {
            VersionedConfiguration versionedConfiguration = adapter.parseConfiguration(entry.get());
            if (versionedConfiguration.revision() > listener.configurationRevision()) {
                listener.install(versionedConfiguration);
            }
        } catch (CassiabankException exception) {
            logRejectedEntry(entry.get(), exception);
        }
    }

    private Optional<Instance> parseServer(StoreEntry entry) {
        return parseIfChanged(entry, () -> adapter.parseServer(entry, self.region()));
    }

    private Optional<Instance> parseDaemon(StoreEntry entry) {
        return parseIfChanged(entry, () -> InstanceListCodec.parse(1, entry.value())
                .instances()
                .iterator()
                .next());
    }

    private Optional<Instance> parseIfChanged(StoreEntry entry, Supplier<Instance> parser) {
        ParsedEntry cached = parsedEntries.get(entry.key());
        if (cached != null && cached.revision() == entry.revision()) {
            return cached.instance();
        }
        Optional<Instance> instance = Optional.empty();
        try {
            instance = Optional.of(parser.get());
        } catch (CassiabankException exception) {
            logRejectedEntry(entry, exception);
        }
        parsedEntries.put(entry.key(), new ParsedEntry(entry.revision(), instance));
        return instance;
    }

    private static void logRejectedEntry(StoreEntry entry, CassiabankException problem) {
        LOGGER.atWarning().log(
                "ignoring invalid entry %s at revision %d: %s", entry.key(), entry.revision(), problem.getMessage());
    }

    private void logDifferences(Map<String, Instance> previousInstances, Map<String, Instance> newInstances) {
        newInstances.forEach((name, instance) -> {
            Instance previous = previousInstances.get(name);
            if (previous == null) {
                LOGGER.atInfo().log(
                        "%s %s was added at %s, revision %d", instance.role(), name, instance.address(), storeRevision);
            } else if (previous.state() != instance.state()) {
                LOGGER.atInfo().log("%s %s is %s, revision %d", instance.role(), name, instance.state(), storeRevision);
            }
        });
        previousInstances.forEach((name, instance) -> {
            if (!newInstances.containsKey(name)) {
                LOGGER.atInfo().log("%s %s was removed, revision %d", instance.role(), name, storeRevision);
            }
        });
    }

    private void keepRegistered() {
        boolean renewed = true;
        boolean isLeaving = false;
        while (!isLeaving) {
            try {
                listener.recordStoreCall("lease");
                if (registration.renew(selfListed)) {
                    LOGGER.atInfo().log("registered as %s", self.name());
                }
                renewed = true;
            } catch (CassiabankException exception) {
                if (renewed) {
                    LOGGER.atWarning().log("cannot renew the registration: %s", exception.getMessage());
                    if (exception.getCause() instanceof InterruptedIOException) {
                        // The connection of the pending watch call may have stopped responding too.
                        store.closeConnections();
                    }
                }
                renewed = false;
            }
            isLeaving = awaitLeaving(renewed ? Registration.RENEWAL_INTERVAL_MILLIS : MAXIMUM_RETRY_DELAY_MILLIS);
        }
        try {
            registration.remove();
        } catch (CassiabankException exception) {
            LOGGER.atInfo().log(
                    "cannot remove the registration, it expires with its lease: %s", exception.getMessage());
        }
    }

    private boolean awaitLeaving(long timeoutMillis) {
        try {
            return leavingLatch.await(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return true;
        }
    }

    private static void pause(long delayMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(delayMillis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * The result of parsing an entry, cached until the entry changes.
     *
     * @param revision the revision of the parsed entry
     * @param instance the instance, empty if the entry is invalid
     */
    private record ParsedEntry(long revision, Optional<Instance> instance) {}
}
