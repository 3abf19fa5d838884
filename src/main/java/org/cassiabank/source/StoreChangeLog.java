package org.cassiabank.source;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps the latest changes of the store for the peers that follow it through this daemon.
 *
 * <p>It answers only while the store has confirmed the state of this daemon recently: a daemon that is cut off from the
 * store, or whose watch has gone silent, would otherwise keep its peers at an old state, although they can reach the
 * store. Other calls that succeed say nothing of the state. Instances are thread-safe.
 */
final class StoreChangeLog {
    /** A daemon that is further behind reads all entries again. */
    private static final int MAXIMUM_EVENTS = 4_096;

    /** Holds the largest values of the store, such as a configuration with many routes, at least twice. */
    private static final long MAXIMUM_VALUE_BYTES = 4 * 1_024 * 1_024;

    private final LongSupplier clockMillis;
    /** The age of its evidence from which on this daemon does not answer peers, in milliseconds. */
    private final long maximumAgeMillis;

    private final Deque<StoreEvent> events = new ArrayDeque<>();
    /** The total size of the values of {@link #events}. */
    private long valueBytes;

    /** The position after which all changes are in the log, of the same era as {@link #lastRevision}. */
    private StoreRevision firstRevision = StoreRevision.none();

    private StoreRevision lastRevision = StoreRevision.none();
    /** All changes that the store had acknowledged by this time are in the log. */
    private long confirmedAsOfMillis;

    private long graceEndMillis;
    private boolean watching;

    private StoreChangeLog(LongSupplier clockMillis, long maximumAgeMillis) {
        this.clockMillis = clockMillis;
        this.maximumAgeMillis = maximumAgeMillis;
        this.confirmedAsOfMillis = clockMillis.getAsLong();
        this.graceEndMillis = confirmedAsOfMillis;
    }

    /**
     * Creates a log that answers no peer before {@link #append}.
     *
     * @param clockMillis a monotonic clock in milliseconds
     * @param maximumAgeMillis how old the evidence that the log is complete may be when a peer is answered, in
     *     milliseconds
     * @return the log
     */
    static StoreChangeLog create(LongSupplier clockMillis, long maximumAgeMillis) {
        return new StoreChangeLog(Objects.requireNonNull(clockMillis, "clockMillis"), maximumAgeMillis);
    }

    /** Forgets all changes after a complete read of the store at the given position. */
    synchronized void restart(StoreRevision revision) {
        events.clear();
        valueBytes = 0;
        firstRevision = revision;
        lastRevision = revision;
        notifyAll();
    }

    /**
     * Appends the changes up to a revision. They may come from the store or from a peer.
     *
     * @param changes the changes after the last position of this log, of the same era
     */
    synchronized void append(StoreWatchResult changes) {
        for (StoreEvent event : changes.events()) {
            if (event.revision().isAfter(lastRevision)) {
                events.addLast(event);
                valueBytes += valueBytes(event);
            }
        }
        lastRevision = lastRevision.latest(changes.revision());
        while (events.size() > MAXIMUM_EVENTS || valueBytes > MAXIMUM_VALUE_BYTES) {
            firstRevision = events.getFirst().revision();
            // One transaction may change several keys at one revision, which are complete only together.
            while (!events.isEmpty() && !events.getFirst().revision().isAfter(firstRevision)) {
                valueBytes -= valueBytes(events.removeFirst());
            }
        }
        notifyAll();
    }

    /**
     * Records until when entries that expired in an outage are retained. To be called before their removal is appended.
     *
     * @param newGraceEndMillis the time, on the clock of this log
     */
    synchronized void extendGrace(long newGraceEndMillis) {
        graceEndMillis = Math.max(graceEndMillis, newGraceEndMillis);
    }

    /**
     * Records that all changes which the store had acknowledged by a moment have been appended.
     *
     * @param asOfMillis the moment, on the clock of this log
     */
    synchronized void confirm(long asOfMillis) {
        confirmedAsOfMillis = Math.max(confirmedAsOfMillis, asOfMillis);
        notifyAll();
    }

    /** Sets whether this daemon watches the store itself; otherwise peers have to ask another daemon. */
    synchronized void setWatching(boolean newWatching) {
        watching = newWatching;
        notifyAll();
    }

    /**
     * Waits until there are changes after a position, or the store has confirmed that there are none.
     *
     * @param afterRevision the position, exclusive
     * @param waitMillis the longest wait in milliseconds
     * @return the reply to the peer
     */
    synchronized StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis) {
        long arrivalMillis = clockMillis.getAsLong();
        long endMillis = arrivalMillis + waitMillis;
        try {
            while (isCurrent()
                    && lastRevision.era() == afterRevision.era()
                    && !lastRevision.isAfter(afterRevision)
                    && confirmedAsOfMillis <= arrivalMillis
                    && clockMillis.getAsLong() < endMillis) {
                long staleMillis = confirmedAsOfMillis + maximumAgeMillis;
                long remainingMillis = Math.min(endMillis, staleMillis) - clockMillis.getAsLong();
                TimeUnit.MILLISECONDS.timedWait(this, Math.max(1, remainingMillis));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new StoreRelayReply.Unavailable();
        }
        if (isCurrent() && lastRevision.era() != afterRevision.era()) {
            return new StoreRelayReply.OtherEra(lastRevision.era());
        }
        if (!isCurrent() || firstRevision.isAfter(afterRevision)) {
            return new StoreRelayReply.Unavailable();
        }
        List<StoreEvent> newerEvents = events.stream()
                .filter(event -> event.revision().isAfter(afterRevision))
                .toList();
        long graceMillis = Math.max(0, graceEndMillis - clockMillis.getAsLong());
        return new StoreRelayReply.Current(
                new StoreWatchResult(newerEvents, lastRevision),
                graceMillis,
                OptionalLong.of(arrivalMillis - confirmedAsOfMillis));
    }

    private static long valueBytes(StoreEvent event) {
        return event instanceof StoreEvent.Written written ? written.entry().value().length : 0;
    }

    private boolean isCurrent() {
        return watching && clockMillis.getAsLong() - confirmedAsOfMillis < maximumAgeMillis;
    }
}
