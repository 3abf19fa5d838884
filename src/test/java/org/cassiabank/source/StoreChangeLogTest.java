package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against daemons that keep their peers at an old state: because they are cut off from the store themselves, do
 * not watch it, or have dropped some of the changes that a peer lacks.
 */
@Timeout(10)
class StoreChangeLogTest {
    private static final long ERA = 3;
    private static final long MAXIMUM_AGE_MILLIS = 1_000;

    private final AtomicLong nowMillis = new AtomicLong(1_000_000);
    private final StoreChangeLog log = StoreChangeLog.create(nowMillis::get, MAXIMUM_AGE_MILLIS);

    @Test
    void aPeerGetsAllChangesAfterItsRevision() {
        startWatchingAt(10);
        log.append(new StoreWatchResult(List.of(written("a", 11), written("b", 12)), at(12)));
        log.append(new StoreWatchResult(List.of(new StoreEvent.Removed("a", at(13))), at(14)));
        assertThat(changesAfter(10)).isEqualTo(new StoreWatchResult(currentEvents(10), at(14)));
        assertThat(revisions(changesAfter(11))).containsExactly(at(12), at(13));
        assertThat(revisions(changesAfter(14))).isEmpty();
        assertThat(changesAfter(20).revision()).isEqualTo(at(14));
    }

    @Test
    void aDaemonWhoseStateTheStoreHasNotConfirmedForTooLongAnswersNoPeer() {
        startWatchingAt(10);
        nowMillis.addAndGet(MAXIMUM_AGE_MILLIS - 1);
        assertThat(log.awaitChanges(at(10), 0)).isInstanceOf(StoreRelayReply.Current.class);
        nowMillis.addAndGet(1);
        assertThat(log.awaitChanges(at(9), 0)).isInstanceOf(StoreRelayReply.Unavailable.class);
        log.confirm(nowMillis.get());
        assertThat(log.awaitChanges(at(10), 0)).isInstanceOf(StoreRelayReply.Current.class);
    }

    @Test
    void aDaemonThatDoesNotWatchTheStoreAnswersNoPeer() {
        assertThat(log.awaitChanges(at(0), 0)).isInstanceOf(StoreRelayReply.Unavailable.class);
        startWatchingAt(10);
        log.setWatching(false);
        assertThat(log.awaitChanges(at(10), 0)).isInstanceOf(StoreRelayReply.Unavailable.class);
    }

    @Test
    void changesBeforeTheFirstReadAreNotKnown() {
        startWatchingAt(10);
        assertThat(log.awaitChanges(at(9), 0)).isInstanceOf(StoreRelayReply.Unavailable.class);
    }

    @Test
    void aPeerThatIsFurtherBehindThanTheMemoryReachesIsNotGivenAPart() {
        startWatchingAt(10);
        byte[] large = new byte[1_500_000];
        log.append(new StoreWatchResult(
                List.of(
                        new StoreEvent.Written(new StoreEntry("a", large, at(11))),
                        written("b", 11),
                        new StoreEvent.Written(new StoreEntry("c", large, at(12))),
                        new StoreEvent.Written(new StoreEntry("d", large, at(13)))),
                at(13)));
        assertThat(log.awaitChanges(at(10), 0)).isInstanceOf(StoreRelayReply.Unavailable.class);
        // The small change at revision 11 was dropped with the large one of the same transaction.
        assertThat(revisions(changesAfter(11))).containsExactly(at(12), at(13));
    }

    @Test
    void aWaitingPeerLearnsOfAChangeAtOnceAndOfAnOutageToo() throws Exception {
        startWatchingAt(10);
        CompletableFuture<StoreRelayReply> reply =
                CompletableFuture.supplyAsync(() -> log.awaitChanges(at(10), 60_000));
        TimeUnit.MILLISECONDS.sleep(50);
        assertThat(reply).isNotDone();
        log.append(new StoreWatchResult(List.of(written("a", 11)), at(11)));
        assertThat(reply.get(5, TimeUnit.SECONDS)).isInstanceOf(StoreRelayReply.Current.class);
        CompletableFuture<StoreRelayReply> second =
                CompletableFuture.supplyAsync(() -> log.awaitChanges(at(11), 60_000));
        TimeUnit.MILLISECONDS.sleep(50);
        log.setWatching(false);
        assertThat(second.get(5, TimeUnit.SECONDS)).isInstanceOf(StoreRelayReply.Unavailable.class);
    }

    @Test
    void aWaitingPeerLearnsThatTheStoreHasConfirmedThatThereAreNoChanges() throws Exception {
        startWatchingAt(10);
        CompletableFuture<StoreRelayReply> reply =
                CompletableFuture.supplyAsync(() -> log.awaitChanges(at(10), 60_000));
        TimeUnit.MILLISECONDS.sleep(50);
        assertThat(reply).isNotDone();
        log.confirm(nowMillis.get() + 1);
        assertThat(reply.get(5, TimeUnit.SECONDS))
                .isInstanceOfSatisfying(
                        StoreRelayReply.Current.class, current -> assertThat(current.confirmedBeforeCallMillis())
                                .hasValue(-1));
    }

    @Test
    void aPeerOfAnotherEraGetsNoChangesAndLearnsTheEra() throws Exception {
        startWatchingAt(10);
        assertThat(log.awaitChanges(new StoreRevision(ERA - 1, 20), 0)).isEqualTo(new StoreRelayReply.OtherEra(ERA));
        assertThat(log.awaitChanges(new StoreRevision(ERA + 1, 5), 0)).isEqualTo(new StoreRelayReply.OtherEra(ERA));
        CompletableFuture<StoreRelayReply> waiting =
                CompletableFuture.supplyAsync(() -> log.awaitChanges(at(10), 60_000));
        TimeUnit.MILLISECONDS.sleep(50);
        log.restart(new StoreRevision(ERA + 1, 8));
        assertThat(waiting.get(5, TimeUnit.SECONDS)).isEqualTo(new StoreRelayReply.OtherEra(ERA + 1));
        log.setWatching(false);
        assertThat(log.awaitChanges(at(10), 0)).isInstanceOf(StoreRelayReply.Unavailable.class);
    }

    @Test
    void peersLearnForHowLongExpiredEntriesAreRetained() {
        startWatchingAt(10);
        log.extendGrace(nowMillis.get() + 1_800);
        nowMillis.addAndGet(300);
        assertThat(log.awaitChanges(at(10), 0))
                .isInstanceOfSatisfying(StoreRelayReply.Current.class, current -> assertThat(current.graceMillis())
                        .isEqualTo(1_500));
    }

    private void startWatchingAt(long revision) {
        log.restart(at(revision));
        log.confirm(nowMillis.get());
        log.setWatching(true);
    }

    private StoreWatchResult changesAfter(long revision) {
        return ((StoreRelayReply.Current) log.awaitChanges(at(revision), 0)).changes();
    }

    private List<StoreEvent> currentEvents(long afterRevision) {
        return changesAfter(afterRevision).events();
    }

    private static List<StoreRevision> revisions(StoreWatchResult changes) {
        return changes.events().stream().map(StoreEvent::revision).toList();
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(ERA, number);
    }

    private static StoreEvent written(String key, long revision) {
        return new StoreEvent.Written(new StoreEntry(key, new byte[] {1}, at(revision)));
    }
}
