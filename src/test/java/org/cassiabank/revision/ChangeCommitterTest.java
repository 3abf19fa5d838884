package org.cassiabank.revision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.declaration.EntityKind;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.revision.InMemoryChangeStore.Fault;

/**
 * Guards against lost, duplicated and silently overwritten changes. They come about when two operators commit at the
 * same time, and when the store loses requests or responses or applies a write late.
 */
class ChangeCommitterTest {
    private static final EntityKey MENU = new EntityKey(EntityKind.SERVICE, "menu");

    private InMemoryChangeStore store;

    @BeforeTry
    void createStore() {
        store = new InMemoryChangeStore();
    }

    static Edit put(String service, int slots, long readRevision) {
        return new PutEdit(new ServiceDeclaration(service, slots, 1, 1000), readRevision);
    }

    @Property(tries = 200)
    void editsOfDifferentEntitiesBothSurvive(@ForAll @Size(max = 12) List<@IntRange(max = 1) Integer> callOrder) {
        List<String> outcomes = race(callOrder, put("menu", 2, 0), put("orders", 3, 0));
        assertThat(outcomes).containsExactly("committed", "committed");
        Configuration result = ChangeCommitter.create(store).refresh();
        assertThat(result.revision()).isEqualTo(2);
        assertThat(result.service("menu"))
                .map(ServiceDeclaration::slotsPerServer)
                .contains(2);
        assertThat(result.service("orders"))
                .map(ServiceDeclaration::slotsPerServer)
                .contains(3);
    }

    @Property(tries = 200)
    void editsOfTheSameEntityGiveExactlyOneConflict(
            @ForAll @Size(max = 12) List<@IntRange(max = 1) Integer> callOrder) {
        ChangeCommitter.create(store).commit("create", List.of(put("menu", 1, 0)));
        List<String> outcomes = race(callOrder, put("menu", 2, 1), new DeleteEdit(MENU, 1));
        int winner = outcomes.indexOf("committed");
        assertThat(outcomes.get(1 - winner))
                .startsWith("CONFLICT")
                .contains("operation-" + winner)
                .contains("operation-" + (1 - winner));
        assertThat(ChangeReader.create(store).read(2)).map(Change::operationId).contains("operation-" + winner);
        assertThat(ChangeReader.create(store).read(3)).isEmpty();
    }

    @Property(tries = 500)
    void faultsDuringARaceNeitherDuplicateNorMisreportAnOperation(
            @ForAll @Size(max = 30) List<@IntRange(max = 1) Integer> callOrder,
            @ForAll @Size(max = 8) List<@IntRange(max = 19) Integer> faults,
            @ForAll boolean sameEntity) {
        faults.forEach(call -> store.failCall(call, Fault.values()[call % 3]));
        List<String> outcomes = race(callOrder, put("menu", 2, 0), put(sameEntity ? "menu" : "orders", 3, 0));
        store.applyDelayedCalls();
        List<String> committed = committedOperations();
        assertThat(committed).doesNotHaveDuplicates();
        for (int operator = 0; operator < 2; operator++) {
            boolean stored = committed.contains("operation-" + operator);
            String outcome = outcomes.get(operator);
            if (outcome.equals("committed")) {
                assertThat(stored).isTrue();
            } else if (outcome.startsWith("CONFLICT") || outcome.contains("nothing was changed")) {
                assertThat(stored).isFalse();
            }
        }
        assertThat(committed).hasSizeLessThanOrEqualTo(sameEntity ? 1 : 2);
    }

    @Property(tries = 200)
    void anOperationThatIsRepeatedAfterFaultsIsCommittedOnce(
            @ForAll @Size(max = 6) List<@IntRange(max = 14) Integer> faults, @ForAll boolean newCommitter) {
        faults.forEach(call -> store.failCall(call, Fault.values()[call % 3]));
        ChangeCommitter committer = ChangeCommitter.create(store);
        Optional<Change> change = Optional.empty();
        while (change.isEmpty()) {
            try {
                change = Optional.of(committer.commit("operation", List.of(put("menu", 2, 0))));
            } catch (CassiabankException e) {
                assertThat(e.code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
                committer = newCommitter ? ChangeCommitter.create(store) : committer;
            }
        }
        store.applyDelayedCalls();
        assertThat(change.get().revision()).isEqualTo(1);
        assertThat(committedOperations()).containsExactly("operation");
    }

    @Example
    void aRepeatedOperationDoesNotRestoreWhatAnotherOperatorDeletedSince() {
        ChangeCommitter committer = ChangeCommitter.create(store);
        store.failAfterCreating(ChangeReader.changeKey(1));
        assertThatThrownBy(() -> committer.commit("first", List.of(put("menu", 2, 0))))
                .hasMessageContaining("operation first may have been accepted");
        store.setAvailable(true);
        ChangeCommitter.create(store).commit("second", List.of(new DeleteEdit(MENU, 1)));
        assertThat(committer.commit("first", List.of(put("menu", 2, 0))).revision())
                .isEqualTo(1);
        assertThat(committer.refresh().service("menu")).isEmpty();
    }

    @Example
    void anOutageIsReportedAndChangesNothing() {
        ChangeCommitter committer = ChangeCommitter.create(store);
        committer.commit("first", List.of(put("menu", 2, 0)));
        store.setAvailable(false);
        assertThatThrownBy(() -> committer.commit("second", List.of(put("menu", 3, 1))))
                .hasMessageContaining("nothing was changed by operation second");
        store.setAvailable(true);
        assertThat(committedOperations()).containsExactly("first");
    }

    @Example
    void anInvalidResultIsRefusedWithAllFindings() {
        ChangeCommitter committer = ChangeCommitter.create(store);
        committer.commit("create", List.of(put("menu", 2, 0)));
        Edit label = new PutEdit(new LabelRule("menu", "menu-1", Map.of("service", "menu")), 0);
        committer.commit("label", List.of(label));
        assertThatThrownBy(() -> committer.commit("delete", List.of(new DeleteEdit(MENU, 1))))
                .hasMessage("operation delete: label.menu.set.service: unknown service \"menu\"");
        assertThat(committedOperations()).hasSize(2);
    }

    @Example
    void aNewCommitterStartsFromTheSnapshotAndStillFindsEarlierOperations() {
        ChangeCommitter committer = ChangeCommitter.create(store);
        for (int revision = 1; revision <= 450; revision++) {
            // The snapshot that is due at revision 200 is not written, because the first call for it gets no response.
            if (revision == 200) {
                store.failCall(2, Fault.REQUEST_LOST);
            }
            committer.commit("operation-" + revision, List.of(put("service-" + revision, 1, 0)));
        }
        int callsBefore = store.calls();
        ChangeCommitter lateCommitter = ChangeCommitter.create(store);
        assertThat(lateCommitter.refresh()).isEqualTo(committer.refresh());
        assertThat(store.calls() - callsBefore).isLessThan(60);
        assertThat(StoredSnapshots.create(store).newestRevision()).isEqualTo(401);
        assertThat(lateCommitter.findOperation("operation-7"))
                .map(Change::revision)
                .contains(7L);
        assertThat(lateCommitter
                        .commit("operation-7", List.of(put("service-7", 1, 0)))
                        .revision())
                .isEqualTo(7);
        assertThatThrownBy(() -> lateCommitter.commit("operation-7", List.of(put("service-7", 2, 0))))
                .hasMessageContaining("used for other edits at revision 7");
    }

    @Example
    void aMalformedChangeInTheStoreIsReportedWithItsKey() {
        ChangeCommitter committer = ChangeCommitter.create(store);
        committer.commit("first", List.of(put("menu", 2, 0)));
        store.create(ChangeReader.changeKey(2), "{\"revision\":2".getBytes());
        assertThatThrownBy(() -> committer.commit("second", List.of(put("orders", 2, 0))))
                .hasMessageContaining("malformed change at key cassiabank/change/2")
                .hasMessageContaining("JSON syntax");
        assertThat(committedOperations().getFirst()).isEqualTo("first");
    }

    private List<String> committedOperations() {
        List<String> operations = new ArrayList<>();
        for (long revision = 1; store.values().containsKey(ChangeReader.changeKey(revision)); revision++) {
            byte[] document =
                    store.values().get(ChangeReader.changeKey(revision)).value();
            if (document.length > 20) {
                operations.add(Change.fromDocument(document).operationId());
            }
        }
        return operations;
    }

    /** Commits each edit as another operator; the outcomes are "committed" or the error code with the message. */
    private List<String> race(List<Integer> callOrder, Edit... edits) {
        SequencedStore shared = new SequencedStore(store, callOrder);
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<String>> results = IntStream.range(0, edits.length)
                    .mapToObj(operator -> threads.submit(() -> commit(shared, operator, edits[operator])))
                    .toList();
            List<String> outcomes = new ArrayList<>();
            for (Future<String> outcome : results) {
                outcomes.add(outcome.get());
            }
            return outcomes;
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String commit(SequencedStore shared, int operator, Edit edit) {
        try {
            ChangeCommitter.create(shared.storeFor(operator)).commit("operation-" + operator, List.of(edit));
            return "committed";
        } catch (CassiabankException e) {
            return e.code() + ": " + e.getMessage();
        } finally {
            shared.markFinished(operator);
        }
    }
}
