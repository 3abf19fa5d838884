package org.cassiabank.source;

import com.google.common.flogger.FluentLogger;
import java.io.InterruptedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;

/**
 * Publishes the operators' configuration, the backend servers and the daemons of the fleet from a metadata store.
 *
 * <p>One thread reads all entries once and then waits for changes: at the store if this daemon is one of the watchers
 * of its failure domain, otherwise at a watcher. Another thread keeps this daemon registered.
 */
public final class MetadataStoreFleetSource implements FleetSource {
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

    /** The wait at a peer that is current; after it the other watcher is asked, which may know of more. */
    private static final long RELAY_WAIT_MILLIS = 1_000;

    /** Pause after changes that a peer has passed on, which arrive in the batches of that peer. */
    private static final long RELAY_BATCH_INTERVAL_MILLIS = 200;

    /** The wait at the store while no peer answers, after which the peers are asked again. */
    private static final long FALLBACK_WATCH_WAIT_MILLIS = 2_000;

    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final long MINIMUM_RETRY_DELAY_MILLIS = 150;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 350;

    /**
     * The longest wait in an outage for a renewal of the registration to succeed, which costs the store less than a
     * watch, before a watch is tried all the same.
     */
    private static final long MAXIMUM_REACHABLE_WAIT_MILLIS = 2_000;

    /** Lists of one store revision that differ in the instances retained after an outage have consecutive indexes. */
    private static final int INDEX_BITS_PER_REVISION = 8;

    private final PlatformAdapter adapter;
    private final MetadataStore store;
    private final Instance self;
    private final LongSupplier clockMillis;
    private final StoreRelay relay;
    private final StoreChangeLog changeLog;
    private final StoreEntryTable entryTable = new StoreEntryTable();
    private final OutageGracePeriod outageGracePeriod = new OutageGracePeriod();
    private final Registration registration;
    private final InstanceEntries instanceEntries;
    private final CountDownLatch leavingLatch = new CountDownLatch(1);
    private long configurationEntryRevision;
    /** Where the latest changes came from, for the log. */
    private String changeOrigin = "nowhere";

    private FleetUpdateListener listener;
    private Map<String, Instance> publishedInstances = Map.of();
    private boolean entriesLoaded;
    private boolean storeAvailable = true;
    private long storeRevision;
    private long publishedIndex;
    private volatile boolean upToDate;
    private volatile boolean selfListed;
    /** False from a failed call to the store until the next successful one of this daemon itself. */
    private volatile boolean storeReachable = true;

    private volatile boolean closed;

    private MetadataStoreFleetSource(
            PlatformAdapter adapter, MetadataStore store, Instance self, LongSupplier clockMillis, StoreRelay relay) {
        this.adapter = adapter;
        this.store = store;
        this.self = self;
        this.clockMillis = clockMillis;
        this.relay = relay;
        this.changeLog = StoreChangeLog.create(clockMillis);
        this.instanceEntries = InstanceEntries.create(adapter, self.region());
        this.registration = Registration.create(
                store, InstanceEntries.DAEMONS_PREFIX + self.name(), InstanceListCodec.toJson(List.of(self)));
    }

    /**
     * Creates a source that reads nothing before {@link #start}.
     *
     * @param adapter the adapter that parses the entries of the platform
     * @param store the store that holds the entries
     * @param self this daemon, as it is registered for its peers
     * @param clockMillis a monotonic clock in milliseconds
     * @param relay reads changes through peers if others watch the store, or if this daemon cannot reach it
     * @return the source
     * @throws NullPointerException if an argument is null
     */
    public static MetadataStoreFleetSource create(
            PlatformAdapter adapter, MetadataStore store, Instance self, LongSupplier clockMillis, StoreRelay relay) {
        return new MetadataStoreFleetSource(
                Objects.requireNonNull(adapter, "adapter"),
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(clockMillis, "clockMillis"),
                Objects.requireNonNull(relay, "relay"));
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
    public StoreRelayReply awaitChanges(long afterRevision, long waitMillis) {
        return changeLog.awaitChanges(afterRevision, waitMillis);
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
                setStoreReachable(false);
                changeLog.setWatching(false);
                outageGracePeriod.recordFailure(clockMillis.getAsLong());
                if (storeAvailable) {
                    LOGGER.atWarning().log(
                            "the store does not answer, revision %d stays in force: %s",
                            storeRevision, exception.getMessage());
                }
                boolean firstFailure = storeAvailable;
                storeAvailable = false;
                upToDate = false;
                pause(ThreadLocalRandom.current().nextLong(MINIMUM_RETRY_DELAY_MILLIS, MAXIMUM_RETRY_DELAY_MILLIS));
                if (!firstFailure) {
                    awaitStoreReachable();
                }
            } catch (RuntimeException | Error failure) {
                // The table may hold a part of the changes only, so all entries are read again.
                entriesLoaded = false;
                changeLog.setWatching(false);
                upToDate = false;
                BackgroundTasks.recordFailure("store-follower", failure);
                pause(MAXIMUM_RETRY_DELAY_MILLIS);
            }
        }
    }

    private void readAndPublish() {
        long pauseMillis = BATCH_INTERVAL_MILLIS;
        if (!entriesLoaded) {
            loadAllEntries();
            outageGracePeriod.recordResponse(clockMillis.getAsLong());
        } else {
            long callStartMillis = clockMillis.getAsLong();
            boolean watching = relay.isWatcher() && storeReachable;
            changeLog.setWatching(watching);
            StoreRelayReply reply =
                    watching ? new StoreRelayReply.Unavailable() : relay.awaitChanges(storeRevision, RELAY_WAIT_MILLIS);
            boolean relayed = reply instanceof StoreRelayReply.Current;
            recordOrigin(
                    watching ? "the store, as a watcher" : relayed ? "a watcher" : "the store, for want of a watcher");
            Optional<StoreWatchResult> changes =
                    switch (reply) {
                        case StoreRelayReply.Current current -> {
                            outageGracePeriod.recordResponse(clockMillis.getAsLong());
                            outageGracePeriod.retainFor(current.graceMillis(), clockMillis.getAsLong());
                            yield Optional.of(current.changes());
                        }
                        case StoreRelayReply.Unavailable unavailable -> watchStore(watching);
                    };
            if (changes.isEmpty()) {
                LOGGER.atInfo().log(
                        "the store has discarded changes after revision %d; reading all entries again", storeRevision);
                entriesLoaded = false;
                return;
            }
            pauseMillis = pauseMillis(changes.get(), relayed, clockMillis.getAsLong() - callStartMillis);
            if (changes.get().revision() < storeRevision) {
                LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                        "%s is at revision %d, behind revision %d of this daemon",
                        changeOrigin, changes.get().revision(), storeRevision);
            }
            changes.get().events().forEach(entryTable::apply);
            changeLog.append(changes.get());
            storeRevision = Math.max(storeRevision, changes.get().revision());
        }
        publish();
        // Before the pause: until then Replication asks peers for lists that this daemon already has.
        upToDate = true;
        pause(pauseMillis);
    }

    private void recordOrigin(String newOrigin) {
        if (!newOrigin.equals(changeOrigin)) {
            LOGGER.atInfo().log(
                    "changes after revision %d come from %s, before from %s", storeRevision, newOrigin, changeOrigin);
            changeOrigin = newOrigin;
        }
    }

    private Optional<StoreWatchResult> watchStore(boolean watching) {
        // The first call after a failure waits only 1 ms, so that the grace period starts without delay.
        long nowMillis = clockMillis.getAsLong();
        long longestWaitMillis = watching ? WATCH_WAIT_MILLIS : FALLBACK_WATCH_WAIT_MILLIS;
        long waitMillis = storeAvailable
                ? Math.clamp(outageGracePeriod.nextEvaluationMillis() - nowMillis, 1, longestWaitMillis)
                : 1;
        listener.recordStoreCall("watch");
        Optional<StoreWatchResult> changes = store.watch("", storeRevision, waitMillis);
        setStoreReachable(true);
        // Peers must learn of the grace period before they learn that entries have expired.
        outageGracePeriod.recordResponse(clockMillis.getAsLong());
        changeLog.recordContact(outageGracePeriod.graceEndMillis());
        return changes;
    }

    private static long pauseMillis(StoreWatchResult changes, boolean relayed, long callMillis) {
        if (relayed) {
            return changes.events().isEmpty() ? 0 : RELAY_BATCH_INTERVAL_MILLIS;
        }
        boolean inSeries = !changes.events().isEmpty() && callMillis < SERIES_DETECTION_MILLIS;
        return inSeries ? SERIES_BATCH_INTERVAL_MILLIS : BATCH_INTERVAL_MILLIS;
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
        changeLog.restart(storeRevision);
        changeLog.recordContact(outageGracePeriod.graceEndMillis());
        entriesLoaded = true;
        LOGGER.atInfo().log("read all %d entries of the store at revision %d", allEntries.size(), storeRevision);
    }

    /** Publishes the instances before the configuration, because a daemon with a configuration accepts requests. */
    private void publish() {
        publishInstances();
        publishConfiguration();
    }

    private void publishInstances() {
        Map<String, Instance> listed = instanceEntries.instancesIn(entryTable);
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
        } catch (RuntimeException exception) {
            // Other writers may store anything; an entry that cannot be used must not stop the others.
            InstanceEntries.logRejected(entry.get(), exception);
        }
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

    private synchronized void setStoreReachable(boolean reachable) {
        storeReachable = reachable;
        notifyAll();
    }

    /** Waits until a call of this daemon to the store has succeeded, or for the longest wait. */
    private synchronized void awaitStoreReachable() {
        long endMillis = clockMillis.getAsLong() + MAXIMUM_REACHABLE_WAIT_MILLIS;
        try {
            long remainingMillis = MAXIMUM_REACHABLE_WAIT_MILLIS;
            while (!storeReachable && !closed && remainingMillis > 0) {
                TimeUnit.MILLISECONDS.timedWait(this, remainingMillis);
                remainingMillis = endMillis - clockMillis.getAsLong();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
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
                setStoreReachable(true);
                changeLog.recordContact(Long.MIN_VALUE);
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
}
