package org.cassiabank.source;

import com.google.common.flogger.FluentLogger;
import java.io.InterruptedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Calls the store and its watchers for entries and changes, and tells as of when their responses confirm the state.
 *
 * <p>Confined to the thread that follows the store, except {@link #isWatchingStore}.
 */
final class ChangeReceiver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;

    /** How long a watch may take for its response on a new connection, after one that did not respond in time. */
    private static final long SECOND_REPLY_MILLIS = 1_500;

    /** The entries are held in memory, the former ones until all new ones have been read. */
    private static final long MAXIMUM_ENTRIES_BYTES = Runtime.getRuntime().maxMemory() / 4;

    private final MetadataStore store;
    private final StoreRelay relay;
    private final PropagationTimes times;
    private final LongSupplier clockMillis;
    private final Consumer<String> storeCallRecorder;
    /** Where the latest changes came from, for the log. */
    private String origin = "nowhere";

    private volatile boolean watchingStore;

    private ChangeReceiver(
            MetadataStore store,
            StoreRelay relay,
            PropagationTimes times,
            LongSupplier clockMillis,
            Consumer<String> storeCallRecorder) {
        this.store = store;
        this.relay = relay;
        this.times = times;
        this.clockMillis = clockMillis;
        this.storeCallRecorder = storeCallRecorder;
    }

    /**
     * Creates a receiver that makes no call by itself.
     *
     * @param store the store
     * @param relay calls the watchers
     * @param times the times within which the store and the watchers have to reply
     * @param clockMillis a monotonic clock in milliseconds
     * @param storeCallRecorder counts the calls to the store by their kind
     * @return the receiver
     */
    static ChangeReceiver create(
            MetadataStore store,
            StoreRelay relay,
            PropagationTimes times,
            LongSupplier clockMillis,
            Consumer<String> storeCallRecorder) {
        return new ChangeReceiver(
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(relay, "relay"),
                Objects.requireNonNull(times, "times"),
                Objects.requireNonNull(clockMillis, "clockMillis"),
                Objects.requireNonNull(storeCallRecorder, "storeCallRecorder"));
    }

    /** Returns where the latest changes came from, for the log. */
    String origin() {
        return origin;
    }

    /** Tells whether a watch waits at the store; any thread may ask. */
    boolean isWatchingStore() {
        return watchingStore;
    }

    /**
     * Waits for changes at the watchers.
     *
     * @param afterRevision the position after which changes are needed
     * @param ask how long to wait
     * @param confirmedAsOfMillis the time as of which the entries are known to be complete, in milliseconds
     * @return what a watcher has told; empty if none can tell changes of the same era
     */
    Optional<ReceivedChanges> askWatchers(
            StoreRevision afterRevision, FollowStep.AskWatchers ask, long confirmedAsOfMillis) {
        long callStartMillis = clockMillis.getAsLong();
        StoreRelayReply reply = relay.awaitChanges(afterRevision, ask.waitMillis(), ask.totalMillis());
        return switch (reply) {
            // A peer of a release without eras names none.
            case StoreRelayReply.Current current
            when current.changes().revision().era() == afterRevision.era() -> {
                recordOrigin("a watcher", afterRevision);
                OptionalLong beforeCallMillis = current.confirmedBeforeCallMillis();
                long asOfMillis = beforeCallMillis.isPresent()
                        ? callStartMillis - beforeCallMillis.getAsLong()
                        : confirmedAsOfMillis;
                yield Optional.of(
                        new ReceivedChanges(Optional.of(current.changes()), asOfMillis, current.graceMillis(), true));
            }
            case StoreRelayReply.OtherEra other
            when other.era() > afterRevision.era() ->
                Optional.of(new ReceivedChanges(Optional.empty(), confirmedAsOfMillis, 0, true));
            case StoreRelayReply.Current current -> Optional.empty();
            case StoreRelayReply.OtherEra other -> Optional.empty();
            case StoreRelayReply.Unavailable unavailable -> Optional.empty();
        };
    }

    /**
     * Waits for changes at the store. If there is no response in time, the connection may be silent, so the call is
     * made once more on a new one.
     *
     * @param afterRevision the position after which changes are needed
     * @param waitMillis the longest wait in milliseconds
     * @param watching whether this daemon watches the store for its peers, for the log
     * @return what the store has told
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not respond or rejects the
     *     call
     */
    ReceivedChanges watchStore(StoreRevision afterRevision, long waitMillis, boolean watching) {
        recordOrigin(watching ? "the store, as a watcher" : "the store, for want of a watcher", afterRevision);
        try {
            return callWatch(afterRevision, waitMillis, times.replyMillis());
        } catch (CassiabankException exception) {
            if (!(exception.getCause() instanceof InterruptedIOException)) {
                throw exception;
            }
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "no response to a watch after revision %s within %d ms beyond its wait; calling again on a new"
                            + " connection: %s",
                    afterRevision, times.replyMillis(), exception.getMessage());
            return callWatch(afterRevision, 1, SECOND_REPLY_MILLIS);
        }
    }

    /**
     * Reads all entries.
     *
     * @return the pages, at least one
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not respond, rejects a
     *     call or holds more than fits into memory
     */
    List<StorePage> readAllPages() {
        List<StorePage> pages = new ArrayList<>();
        String afterKey = "";
        boolean hasMore = true;
        long readBytes = 0;
        while (hasMore) {
            storeCallRecorder.accept("list");
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
        return pages;
    }

    private ReceivedChanges callWatch(StoreRevision afterRevision, long waitMillis, long replyMillis) {
        storeCallRecorder.accept("watch");
        long callStartMillis = clockMillis.getAsLong();
        watchingStore = true;
        try {
            Optional<StoreWatchResult> changes = store.watch("", afterRevision, waitMillis, replyMillis);
            long asOfMillis = callStartMillis + waitedMillis(changes, callStartMillis, waitMillis);
            return new ReceivedChanges(changes, asOfMillis, 0, false);
        } finally {
            watchingStore = false;
        }
    }

    /**
     * Returns the time after the start of a watch as of which its response confirms the entries. An empty one may come
     * before the end of the wait, if the store ends the call early.
     */
    private long waitedMillis(Optional<StoreWatchResult> changes, long callStartMillis, long waitMillis) {
        boolean empty = changes.filter(result -> result.events().isEmpty()).isPresent();
        return empty && clockMillis.getAsLong() - callStartMillis >= waitMillis ? waitMillis : 0;
    }

    private void recordOrigin(String newOrigin, StoreRevision revision) {
        if (!newOrigin.equals(origin)) {
            LOGGER.atInfo().log("changes after revision %s come from %s, before from %s", revision, newOrigin, origin);
            origin = newOrigin;
        }
    }
}
