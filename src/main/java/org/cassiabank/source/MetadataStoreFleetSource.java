package org.cassiabank.source;

import com.google.common.flogger.FluentLogger;
import java.io.InterruptedIOException;
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
    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final long MINIMUM_RETRY_DELAY_MILLIS = 150;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 350;

    /**
     * The time in an outage after which the store is called again although no renewal of the registration has
     * succeeded, which costs the store less.
     */
    private static final long STORE_RETRY_MILLIS = 2_000;

    /** After this time in a new era each daemon has exchanged its configuration with several peers. */
    private static final long CONFIGURATION_SETTLING_MILLIS = 10_000;

    private final PlatformAdapter adapter;
    private final MetadataStore store;
    private final Instance self;
    private final LongSupplier clockMillis;
    private final StoreRelay relay;
    private final PropagationTimes times;
    private final FollowPlan plan;
    private final StoreChangeLog changeLog;
    private final StoreEntryTable entryTable = new StoreEntryTable();
    private final OutageGracePeriod outageGracePeriod = new OutageGracePeriod();
    private final Registration registration;
    private final EntryPublisher publisher;
    private final ChangeReceiver receiver;
    private final CountDownLatch leavingLatch = new CountDownLatch(1);
    /** The entries include every change that the store had acknowledged by this time, after the first read. */
    private long confirmedAsOfMillis;
    /** {@link #confirmedAsOfMillis} when the entries were last published. */
    private long publishedAsOfMillis;

    private FleetUpdateListener listener;
    private boolean storeAvailable = true;
    /** While the store is not reachable, it is not called before this time. */
    private long nextStoreAttemptMillis;
    /** The era in which the entries were last read; a peer may have named a later one. */
    private volatile long followedEra;

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
        this.plan = FollowPlan.of(times);
        this.store = store;
        this.self = self;
        this.clockMillis = clockMillis;
        this.relay = relay;
        this.changeLog = StoreChangeLog.create(clockMillis, times.storeReadAgeMillis());
        this.publisher = EntryPublisher.create(adapter, self.region(), outageGracePeriod);
        this.receiver = ChangeReceiver.create(store, relay, times, clockMillis, kind -> listener.recordStoreCall(kind));
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
                if (!readAndPublish()) {
                    continue;
                }
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
                nextStoreAttemptMillis = clockMillis.getAsLong() + (storeAvailable ? 0 : STORE_RETRY_MILLIS);
                storeAvailable = false;
                upToDate = false;
                pause(ThreadLocalRandom.current().nextLong(MINIMUM_RETRY_DELAY_MILLIS, MAXIMUM_RETRY_DELAY_MILLIS));
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

    /**
     * Learns of changes and publishes them.
     *
     * @return false if neither the store nor a watcher could be asked
     */
    private boolean readAndPublish() {
        long pauseEndMillis;
        if (entryTable.isCompleteIn(store.era())) {
            long callStartMillis = clockMillis.getAsLong();
            Optional<ReceivedChanges> received = awaitChanges();
            if (received.isEmpty()) {
                return false;
            }
            if (!apply(received.get())) {
                LOGGER.atInfo().log(
                        "no changes continue the entries at revision %s, era %d of the store; reading all entries",
                        entryTable.revision(), store.era());
                entryTable.invalidate();
                return true;
            }
            long receivedMillis = clockMillis.getAsLong();
            pauseEndMillis = receivedMillis + pauseMillis(received.get(), receivedMillis - callStartMillis);
        } else {
            if (!isStoreUsable()) {
                awaitStoreReachable(nextStoreAttemptMillis - clockMillis.getAsLong());
            }
            loadAllEntries();
            pauseEndMillis = clockMillis.getAsLong() + times.batchMillis();
        }
        publish();
        // Before the pause: until then Replication asks peers for lists that this daemon already has.
        upToDate = true;
        pause(pauseEndMillis - clockMillis.getAsLong());
        return true;
    }

    private Optional<ReceivedChanges> awaitChanges() {
        boolean watching = relay.isWatcher() && storeReachable;
        changeLog.setWatching(watching);
        return follow(plan.next(ageMillis(), watching, isStoreUsable()), watching);
    }

    private Optional<ReceivedChanges> follow(FollowStep step, boolean watching) {
        return switch (step) {
            case FollowStep.WatchStore watch -> Optional.of(watchStore(watch.waitMillis(), watching));
            case FollowStep.AskWatchers ask ->
                askWatchers(ask).or(() -> follow(plan.afterNoWatcherReplied(ageMillis(), isStoreUsable()), watching));
            case FollowStep.Pause pause -> {
                awaitStoreReachable(pause.pauseMillis());
                yield Optional.empty();
            }
        };
    }

    private long ageMillis() {
        return clockMillis.getAsLong() - confirmedAsOfMillis;
    }

    private boolean isStoreUsable() {
        return storeReachable || clockMillis.getAsLong() >= nextStoreAttemptMillis;
    }

    private Optional<ReceivedChanges> askWatchers(FollowStep.AskWatchers ask) {
        Optional<ReceivedChanges> received = receiver.askWatchers(entryTable.revision(), ask, confirmedAsOfMillis);
        received.filter(reply -> reply.changes().isPresent()).ifPresent(reply -> {
            outageGracePeriod.recordResponse(clockMillis.getAsLong());
            outageGracePeriod.retainFor(reply.graceMillis(), clockMillis.getAsLong());
        });
        return received;
    }

    /**
     * Applies changes and what they confirm.
     *
     * @return false if they do not continue the entries, so that all entries have to be read
     */
    private boolean apply(ReceivedChanges received) {
        if (received.changes().isEmpty()) {
            return false;
        }
        StoreWatchResult changes = received.changes().get();
        if (changes.revision().era() == entryTable.revision().era()
                && entryTable.revision().isAfter(changes.revision())) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "%s is at revision %s, behind revision %s of this daemon",
                    receiver.origin(), changes.revision(), entryTable.revision());
        }
        if (!entryTable.apply(changes)) {
            return false;
        }
        confirmedAsOfMillis = Math.max(confirmedAsOfMillis, received.asOfMillis());
        changeLog.append(changes);
        // After the changes: a peer must not be told that there are none.
        changeLog.confirm(confirmedAsOfMillis);
        return true;
    }

    private ReceivedChanges watchStore(long longestWaitMillis, boolean watching) {
        // The first call after a failure waits only 1 ms, so that the grace period starts without delay.
        long waitMillis = storeAvailable
                ? Math.clamp(publisher.nextEvaluationMillis() - clockMillis.getAsLong(), 1, longestWaitMillis)
                : 1;
        ReceivedChanges received = receiver.watchStore(entryTable.revision(), waitMillis, watching);
        setStoreReachable(true);
        // Peers must learn of the grace period before they learn that entries have expired.
        outageGracePeriod.recordResponse(clockMillis.getAsLong());
        changeLog.extendGrace(outageGracePeriod.graceEndMillis());
        return received;
    }

    private long pauseMillis(ReceivedChanges received, long callMillis) {
        return received.hasEvents()
                ? plan.pauseAfterChanges(received.relayed(), callMillis, ageMillis())
                : plan.pauseAfterNoChanges(callMillis, ageMillis());
    }

    private void loadAllEntries() {
        long callStartMillis = clockMillis.getAsLong();
        List<StorePage> pages = receiver.readAllPages();
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
        changeLog.extendGrace(outageGracePeriod.graceEndMillis());
        changeLog.restart(revision);
        changeLog.confirm(confirmedAsOfMillis);
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
                    listener.configurationRevision(),
                    receiver.origin(),
                    entryTable.revision(),
                    clockMillis.getAsLong() - confirmedAsOfMillis,
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

    /** Waits until a call of this daemon to the store has succeeded, or for the given time. */
    private synchronized void awaitStoreReachable(long longestWaitMillis) {
        long endMillis = clockMillis.getAsLong() + longestWaitMillis;
        try {
            long remainingMillis = longestWaitMillis;
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
                if (store.era() != followedEra && receiver.isWatchingStore()) {
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
            TimeUnit.MILLISECONDS.sleep(Math.max(0, delayMillis));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
