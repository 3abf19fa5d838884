package org.cassiabank.source;

import com.google.common.flogger.FluentLogger;
import java.io.InterruptedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.membership.Instance;
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

    /** Pause after changes that a peer has passed on, which arrive in the batches of that peer. */
    private static final long RELAY_BATCH_INTERVAL_MILLIS = 200;

    /** The wait at the store while no peer answers, after which the peers are asked again. */
    private static final long FALLBACK_WATCH_WAIT_MILLIS = 2_000;

    /** The entries are held in memory, the former ones until all new ones have been read. */
    private static final long MAXIMUM_ENTRIES_BYTES = Runtime.getRuntime().maxMemory() / 4;

    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final long MINIMUM_RETRY_DELAY_MILLIS = 150;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 350;

    /**
     * The longest wait in an outage for a renewal of the registration to succeed, which costs the store less than a
     * watch, before a watch is tried all the same.
     */
    private static final long MAXIMUM_REACHABLE_WAIT_MILLIS = 2_000;

    /** After this time in a new era each daemon has exchanged its configuration with several peers. */
    private static final long CONFIGURATION_SETTLING_MILLIS = 10_000;

    private final PlatformAdapter adapter;
    private final MetadataStore store;
    private final Instance self;
    private final LongSupplier clockMillis;
    private final StoreRelay relay;
    private final PropagationTimes times;
    private final StoreChangeLog changeLog;
    private final StoreEntryTable entryTable = new StoreEntryTable();
    private final OutageGracePeriod outageGracePeriod = new OutageGracePeriod();
    private final Registration registration;
    private final EntryPublisher publisher;
    private final CountDownLatch leavingLatch = new CountDownLatch(1);
    /** Where the latest changes came from, for the log. */
    private String changeOrigin = "nowhere";
    /** The entries include every change that the store had acknowledged by this time; meaningless before the first read. */
    private long confirmedAsOfMillis;
    /** {@link #confirmedAsOfMillis} when the entries were last published. */
    private long publishedAsOfMillis;

    private FleetUpdateListener listener;
    private boolean storeAvailable = true;
    /** The era in which the entries were last read; a peer may have named a later one. */
    private volatile long followedEra;

    private volatile boolean watchingStore;
    private volatile boolean upToDate;
    private volatile boolean selfListed;
    private volatile boolean storeBehind;
    private volatile long settledMillis = Long.MAX_VALUE;
    /** False from a failed call to the store until the next successful one of this daemon itself. */
    private volatile boolean storeReachable = true;

    private volatile boolean closed;

    private MetadataStoreFleetSource(
            PlatformAdapter adapter,
            MetadataStore store,
            Instance self,
            LongSupplier clockMillis,
            StoreRelay relay,
            PropagationTimes times) {
        this.adapter = adapter;
        this.times = times;
        this.store = store;
        this.self = self;
        this.clockMillis = clockMillis;
        this.relay = relay;
        this.changeLog = StoreChangeLog.create(clockMillis);
        this.publisher = EntryPublisher.create(adapter, self.region(), outageGracePeriod);
        this.registration = Registration.create(store, daemonKey(self), InstanceListCodec.toJson(List.of(self)));
    }

    /**
     * Creates a source that reads nothing before {@link #start}.
     *
     * @param adapter the adapter that parses the entries of the platform
     * @param store the store that holds the entries
     * @param self this daemon, as it is registered for its peers
     * @param clockMillis a monotonic clock in milliseconds
     * @param relay reads changes through peers if others watch the store, or if this daemon cannot reach it
     * @param times the times within which a change has to be in force
     * @return the source
     * @throws NullPointerException if an argument is null
     */
    public static MetadataStoreFleetSource create(
            PlatformAdapter adapter,
            MetadataStore store,
            Instance self,
            LongSupplier clockMillis,
            StoreRelay relay,
            PropagationTimes times) {
        return new MetadataStoreFleetSource(
                Objects.requireNonNull(adapter, "adapter"),
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(clockMillis, "clockMillis"),
                Objects.requireNonNull(relay, "relay"),
                Objects.requireNonNull(times, "times"));
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
    public boolean isConfigurationSettled() {
        return !storeBehind && clockMillis.getAsLong() >= settledMillis;
    }

    @Override
    public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis) {
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
                            "the store answers again at revision %s; %d unlisted instances are retained",
                            entryTable.revision(), outageGracePeriod.retainedCount());
                }
                storeAvailable = true;
                upToDate = entryTable.isCompleteIn(store.era());
            } catch (CassiabankException exception) {
                setStoreReachable(false);
                changeLog.setWatching(false);
                outageGracePeriod.recordFailure(clockMillis.getAsLong());
                if (storeAvailable) {
                    LOGGER.atWarning().log(
                            "the store does not answer, revision %s stays in force: %s",
                            entryTable.revision(), exception.getMessage());
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
                entryTable.invalidate();
                changeLog.setWatching(false);
                upToDate = false;
                BackgroundTasks.recordFailure("store-follower", failure);
                pause(MAXIMUM_RETRY_DELAY_MILLIS);
            }
        }
    }

    private void readAndPublish() {
        long pauseMillis = BATCH_INTERVAL_MILLIS;
        if (entryTable.isCompleteIn(store.era())) {
            long callStartMillis = clockMillis.getAsLong();
            boolean watching = relay.isWatcher() && storeReachable;
            changeLog.setWatching(watching);
            StoreRelayReply reply = watching
                    ? new StoreRelayReply.Unavailable()
                    : relay.awaitChanges(entryTable.revision(), times.relayWaitMillis());
            boolean relayed = reply instanceof StoreRelayReply.Current current && continuesEntries(current.changes());
            recordOrigin(
                    watching ? "the store, as a watcher" : relayed ? "a watcher" : "the store, for want of a watcher");
            Optional<StoreWatchResult> changes =
                    switch (reply) {
                        case StoreRelayReply.Current current
                        when relayed -> {
                            current.confirmedBeforeCallMillis()
                                    .ifPresent(beforeMillis -> confirm(callStartMillis - beforeMillis));
                            outageGracePeriod.recordResponse(clockMillis.getAsLong());
                            outageGracePeriod.retainFor(current.graceMillis(), clockMillis.getAsLong());
                            yield Optional.of(current.changes());
                        }
                        case StoreRelayReply.OtherEra other
                        when other.era() > entryTable.revision().era() -> Optional.empty();
                        case StoreRelayReply.Current current -> watchStore(watching);
                        case StoreRelayReply.OtherEra other -> watchStore(watching);
                        case StoreRelayReply.Unavailable unavailable -> watchStore(watching);
                    };
            if (changes.isEmpty() || !apply(changes.get())) {
                LOGGER.atInfo().log(
                        "no changes continue the entries at revision %s, era %d of the store; reading all entries",
                        entryTable.revision(), store.era());
                entryTable.invalidate();
                return;
            }
            pauseMillis = pauseMillis(changes.get(), relayed, clockMillis.getAsLong() - callStartMillis);
        } else {
            loadAllEntries();
        }
        publish();
        // Before the pause: until then Replication asks peers for lists that this daemon already has.
        upToDate = true;
        pause(pauseMillis);
    }

    /** Tells whether changes from a peer are of the same era; a peer of a release without eras names none. */
    private boolean continuesEntries(StoreWatchResult changes) {
        return changes.revision().era() == entryTable.revision().era();
    }

    private boolean apply(StoreWatchResult changes) {
        if (changes.revision().era() == entryTable.revision().era()
                && entryTable.revision().isAfter(changes.revision())) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "%s is at revision %s, behind revision %s of this daemon",
                    changeOrigin, changes.revision(), entryTable.revision());
        }
        if (!entryTable.apply(changes)) {
            return false;
        }
        changeLog.append(changes);
        changeLog.confirm(confirmedAsOfMillis);
        return true;
    }

    private void recordOrigin(String newOrigin) {
        if (!newOrigin.equals(changeOrigin)) {
            LOGGER.atInfo().log(
                    "changes after revision %s come from %s, before from %s",
                    entryTable.revision(), newOrigin, changeOrigin);
            changeOrigin = newOrigin;
        }
    }

    private Optional<StoreWatchResult> watchStore(boolean watching) {
        // The first call after a failure waits only 1 ms, so that the grace period starts without delay.
        long nowMillis = clockMillis.getAsLong();
        long longestWaitMillis = watching ? WATCH_WAIT_MILLIS : FALLBACK_WATCH_WAIT_MILLIS;
        long waitMillis =
                storeAvailable ? Math.clamp(publisher.nextEvaluationMillis() - nowMillis, 1, longestWaitMillis) : 1;
        listener.recordStoreCall("watch");
        long callStartMillis = clockMillis.getAsLong();
        watchingStore = true;
        Optional<StoreWatchResult> changes;
        try {
            changes = store.watch("", entryTable.revision(), waitMillis);
        } finally {
            watchingStore = false;
        }
        setStoreReachable(true);
        changes.ifPresent(result -> confirm(confirmedBy(result, callStartMillis, waitMillis)));
        // Peers must learn of the grace period before they learn that entries have expired.
        outageGracePeriod.recordResponse(clockMillis.getAsLong());
        if (store.era() == followedEra) {
            changeLog.recordContact(outageGracePeriod.graceEndMillis());
        }
        return changes;
    }

    /**
     * Returns the time as of which the response to a watch call confirms the entries. An empty one may come before the
     * end of the wait, if the store ends the call early.
     */
    private long confirmedBy(StoreWatchResult changes, long callStartMillis, long waitMillis) {
        boolean waited = changes.events().isEmpty() && clockMillis.getAsLong() - callStartMillis >= waitMillis;
        return waited ? callStartMillis + waitMillis : callStartMillis;
    }

    private void confirm(long asOfMillis) {
        confirmedAsOfMillis = Math.max(confirmedAsOfMillis, asOfMillis);
    }

    private static long pauseMillis(StoreWatchResult changes, boolean relayed, long callMillis) {
        if (relayed) {
            return changes.events().isEmpty() ? 0 : RELAY_BATCH_INTERVAL_MILLIS;
        }
        boolean inSeries = !changes.events().isEmpty() && callMillis < SERIES_DETECTION_MILLIS;
        return inSeries ? SERIES_BATCH_INTERVAL_MILLIS : BATCH_INTERVAL_MILLIS;
    }

    private void loadAllEntries() {
        long callStartMillis = clockMillis.getAsLong();
        List<StorePage> pages = new ArrayList<>();
        String afterKey = "";
        boolean hasMore = true;
        long readBytes = 0;
        while (hasMore) {
            listener.recordStoreCall("list");
            StorePage page = store.list("", afterKey);
            pages.add(page);
            readBytes += page.sizeBytes();
            if (readBytes > MAXIMUM_ENTRIES_BYTES) {
                throw CassiabankException.of(
                        ErrorCode.STORE_UNAVAILABLE,
                        "the entries of the store exceed " + MAXIMUM_ENTRIES_BYTES + " bytes after " + pages.size()
                                + " pages");
            }
            hasMore = page.hasMore() && !page.entries().isEmpty();
            afterKey = hasMore ? page.entries().getLast().key() : afterKey;
        }
        long nowMillis = clockMillis.getAsLong();
        outageGracePeriod.recordResponse(nowMillis);
        StoreRevision formerRevision = entryTable.revision();
        if (!entryTable.replaceAll(pages)) {
            throw CassiabankException.of(
                    ErrorCode.STORE_UNAVAILABLE,
                    "the store came back from an older copy while its entries were read: "
                            + pages.stream().map(StorePage::revision).toList());
        }
        StoreRevision revision = entryTable.revision();
        followedEra = revision.era();
        confirmedAsOfMillis = callStartMillis;
        boolean firstRead = formerRevision.equals(StoreRevision.none());
        if (firstRead || revision.era() > formerRevision.era()) {
            settledMillis = nowMillis + CONFIGURATION_SETTLING_MILLIS;
        }
        if (!firstRead && revision.era() > formerRevision.era()) {
            LOGGER.atWarning().log(
                    "the store came back from an older copy at revision %s, before revision %s",
                    revision, formerRevision);
            publisher.recordRestoration(revision, nowMillis);
        }
        changeLog.restart(revision);
        changeLog.confirm(confirmedAsOfMillis);
        changeLog.recordContact(outageGracePeriod.graceEndMillis());
        LOGGER.atInfo().log("read all entries of the store in %d pages at revision %s", pages.size(), revision);
    }

    private void publish() {
        long formerConfiguration = listener.configurationRevision();
        publisher.publish(entryTable, listener, clockMillis.getAsLong());
        listener.recordConfirmation(new StateConfirmation(confirmedAsOfMillis, times.boundMillis()));
        if (listener.configurationRevision() != formerConfiguration) {
            LOGGER.atInfo().log(
                    "configuration revision %d came from %s; the entries at revision %s were confirmed %d ms ago, the"
                            + " former ones %d ms ago",
                    listener.configurationRevision(), changeOrigin,
                    entryTable.revision(), clockMillis.getAsLong() - confirmedAsOfMillis,
                    clockMillis.getAsLong() - publishedAsOfMillis);
        }
        publishedAsOfMillis = confirmedAsOfMillis;
        selfListed = entryTable.find(daemonKey(self)).isPresent();
        storeBehind = publisher.isStoreBehind(listener);
    }

    private static String daemonKey(Instance daemon) {
        return InstanceEntries.DAEMONS_PREFIX + daemon.name();
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
                if (store.era() == followedEra) {
                    changeLog.recordContact(Long.MIN_VALUE);
                } else if (watchingStore) {
                    // A watch may wait for changes after a revision that the store gives out again in the new era.
                    store.closeConnections();
                }
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
            isLeaving = awaitLeaving(nextRenewalMillis(renewed));
        }
        try {
            registration.remove();
        } catch (CassiabankException exception) {
            LOGGER.atInfo().log(
                    "cannot remove the registration, it expires with its lease: %s", exception.getMessage());
        }
    }

    private long nextRenewalMillis(boolean renewed) {
        if (registration.isOutdated()) {
            return ThreadLocalRandom.current().nextLong(Registration.REGISTRATION_SPREAD_MILLIS);
        }
        return renewed ? Registration.RENEWAL_INTERVAL_MILLIS : MAXIMUM_RETRY_DELAY_MILLIS;
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
