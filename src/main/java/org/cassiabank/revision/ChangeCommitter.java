package org.cassiabank.revision;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.ConfigurationValidator;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.declaration.RequestRouter;
import org.cassiabank.declaration.VersionedDeclaration;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;

/**
 * Commits changes to the store. The commit point is the creation of the key of the next revision, so two committers
 * never both succeed with one revision, and a delayed write can only take effect at the revision that it was made for.
 *
 * <p>Instances are thread-safe and keep the configuration between commits.
 */
public final class ChangeCommitter {
    private static final int CHANGES_PER_SNAPSHOT = 200;
    private static final int LONGEST_DOCUMENT = 1_000_000;
    // Three rounds bridge single lost responses; a longer outage is reported, because the operator can repeat.
    private static final int ROUNDS_WITHOUT_ANSWER = 3;

    private final ChangeStore store;
    private final ChangeReader reader;
    private final StoredSnapshots snapshots;
    private final ConfigurationHistory history = ConfigurationHistory.create();
    // Every committed change was validated, so after one complete check only the own edits need checking. A complete
    // check of 360,000 selectors takes longer than the time between two changes of the target scale.
    private boolean validated;
    private RequestRouter router = RequestRouter.of(Configuration.empty());
    private boolean loaded;
    private long snapshotRevision;

    private ChangeCommitter(ChangeStore store) {
        this.store = store;
        this.reader = ChangeReader.create(store);
        this.snapshots = StoredSnapshots.over(store);
    }

    /**
     * Creates a committer.
     *
     * @param store the store
     * @return the committer
     */
    public static ChangeCommitter create(ChangeStore store) {
        return new ChangeCommitter(Objects.requireNonNull(store, "store"));
    }

    /**
     * Reads the newest configuration.
     *
     * @return the configuration
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer
     */
    public synchronized Configuration refresh() {
        if (!loaded) {
            reader.catchUp(history);
            loaded = true;
        }
        // Later changes are read without skipping, so that an own change whose response was lost is always seen.
        reader.follow(history, Integer.MAX_VALUE);
        return history.configuration();
    }

    /**
     * Commits a change. If another operator wins the race for the next revision, the edits are rebased unless they
     * concern the same entity.
     *
     * <p>The same operation can be committed again with the same edits after a failure. If another committer may have
     * committed the operation, {@link #findOperation} has to be asked first.
     *
     * @param operation the unique id of the operation
     * @param edits the edits, each of another entity
     * @return the change as it was committed
     * @throws CassiabankException with {@link ErrorCode#CONFLICT} if an entity was changed since it was read, with
     *     {@link ErrorCode#INVALID_INPUT} if the resulting configuration would not be valid, or with
     *     {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer; only in the last case the change may have
     *     been accepted
     */
    public synchronized Change commit(String operation, List<Edit> edits) {
        // The constructor checks the operation and the edits.
        Change checked = new Change(1, operation, edits);
        long attempted = 0;
        int unanswered = 0;
        while (true) {
            try {
                Configuration current = refresh();
                Optional<Change> committed = findKept(operation);
                if (committed.isPresent()) {
                    return requireSameEdits(committed.get(), checked);
                }
                Optional<Edit> outdated =
                        edits.stream().filter(edit -> !edit.isBasedOn(current)).findFirst();
                if (outdated.isPresent()) {
                    Optional<Change> earlier = findOperation(operation);
                    if (earlier.isPresent()) {
                        return requireSameEdits(earlier.get(), checked);
                    }
                    throw conflict(operation, outdated.get(), current);
                }
                Change change = new Change(current.revision() + 1, operation, edits);
                byte[] document = validated(change, current);
                attempted = change.revision();
                if (store.create(ChangeReader.changeKey(change.revision()), document)) {
                    history.apply(change);
                    writeSnapshotIfDue();
                    return change;
                }
                if (reader.read(change.revision()).isEmpty()) {
                    throw CassiabankException.of(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the store contradicts itself about revision " + change.revision());
                }
            } catch (CassiabankException e) {
                if (e.code() != ErrorCode.STORE_UNAVAILABLE) {
                    throw e;
                }
                // The response that is missing may be a later one than that which showed the own change.
                Optional<Change> committed = findKept(operation);
                if (committed.isPresent()) {
                    return requireSameEdits(committed.get(), checked);
                }
                unanswered++;
                if (unanswered >= ROUNDS_WITHOUT_ANSWER) {
                    // An unanswered write can only take effect while no other change has taken its revision.
                    boolean pending = attempted > history.configuration().revision();
                    throw unavailable(operation, pending, e);
                }
            }
        }
    }

    /**
     * Finds a committed operation among the latest 512 changes.
     *
     * @param operation the id of the operation
     * @return the change, or empty if none of these changes belongs to the operation
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer
     */
    public synchronized Optional<Change> findOperation(String operation) {
        long newest = refresh().revision();
        Optional<Change> kept = findKept(operation);
        long oldest = Math.max(1, newest - ConfigurationHistory.KEPT_CHANGES + 1);
        for (long revision = newest; kept.isEmpty() && revision >= oldest; revision--) {
            kept = readChange(revision).filter(change -> change.operationId().equals(operation));
        }
        return kept;
    }

    private Optional<Change> findKept(String operation) {
        long newest = history.configuration().revision();
        for (long since = Math.max(0, newest - ConfigurationHistory.KEPT_CHANGES); since < newest; since++) {
            Optional<List<Change>> changes = history.changesSince(since);
            if (changes.isPresent()) {
                return changes.get().stream()
                        .filter(change -> change.operationId().equals(operation))
                        .findFirst();
            }
        }
        return Optional.empty();
    }

    private Optional<Change> readChange(long revision) {
        Optional<List<Change>> kept = history.changesSince(revision - 1);
        return kept.isPresent() ? kept.get().stream().findFirst() : reader.read(revision);
    }

    private byte[] validated(Change change, Configuration current) {
        String source = "operation " + change.operationId();
        Configuration next = change.applyTo(current);
        List<Finding> findings;
        if (validated) {
            router = router.withConfiguration(current);
            findings = ConfigurationValidator.validateChange(source, router, next);
        } else {
            findings = ConfigurationValidator.validate(source, next);
            validated = true;
        }
        if (!findings.isEmpty()) {
            throw CassiabankException.ofFindings(findings);
        }
        byte[] document = change.toDocument();
        if (document.length > LONGEST_DOCUMENT) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT,
                    "operation " + change.operationId() + " has " + document.length + " bytes, but a change may have "
                            + LONGEST_DOCUMENT + "; divide it into several operations");
        }
        return document;
    }

    private static Change requireSameEdits(Change committed, Change wanted) {
        if (!contents(committed).equals(contents(wanted))) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT,
                    "operation id " + committed.operationId() + " was used for other edits at revision "
                            + committed.revision());
        }
        return committed;
    }

    /** Returns what a change does, without the revisions that its operator had read. */
    private static List<Object> contents(Change change) {
        return change.edits().stream()
                .<Object>map(edit -> switch (edit) {
                    case PutEdit put -> put.declaration();
                    case DeleteEdit delete -> delete.key();
                })
                .toList();
    }

    private CassiabankException conflict(String operation, Edit edit, Configuration current) {
        EntityKey key = edit.key();
        long changedAt = current.find(key).map(VersionedDeclaration::revision).orElse(0L);
        Optional<Change> other = changedAt > 0 ? readChange(changedAt) : findDeletion(edit, current);
        String winner = other.map(change -> "operation " + change.operationId() + " at revision " + change.revision())
                .orElse("another operation");
        return CassiabankException.of(
                ErrorCode.CONFLICT,
                "operation " + operation + " edits " + key + " as of revision " + edit.readRevision() + ", but "
                        + winner + (changedAt > 0 ? " changed" : " deleted") + " it since; nothing was changed");
    }

    private Optional<Change> findDeletion(Edit edit, Configuration current) {
        for (long revision = current.revision(); revision > edit.readRevision(); revision--) {
            Optional<Change> change = readChange(revision).filter(candidate -> candidate.edits().stream()
                    .anyMatch(other -> other.key().equals(edit.key())));
            if (change.isPresent()) {
                return change;
            }
        }
        return Optional.empty();
    }

    private void writeSnapshotIfDue() {
        Configuration current = history.configuration();
        if (current.revision() - snapshotRevision < CHANGES_PER_SNAPSHOT) {
            return;
        }
        try {
            snapshotRevision = snapshots.newestRevision();
            if (current.revision() - snapshotRevision >= CHANGES_PER_SNAPSHOT && snapshots.write(current)) {
                snapshotRevision = current.revision();
            }
        } catch (CassiabankException ignored) {
            // The change is committed. The next commit finds the snapshot still due and writes it.
        }
    }

    private static CassiabankException unavailable(String operation, boolean pending, CassiabankException cause) {
        String consequence = pending
                ? "operation " + operation + " may have been accepted; repeat it with the same operation id"
                : "nothing was changed by operation " + operation;
        return CassiabankException.withCause(
                ErrorCode.STORE_UNAVAILABLE, cause.getMessage() + "; " + consequence, cause);
    }
}
