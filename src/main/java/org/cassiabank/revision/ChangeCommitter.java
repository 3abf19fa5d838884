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
    // ChangeStore accepts values of at most 1 MB.
    private static final int MAXIMUM_DOCUMENT_BYTES = 1_000_000;
    // Three rounds tolerate single lost responses; a longer outage is reported, because the operator can repeat the
    // operation.
    private static final int MAXIMUM_UNANSWERED_ROUNDS = 3;

    private final ChangeStore store;
    private final ChangeReader reader;
    private final StoredSnapshots snapshots;
    private final ConfigurationHistory history = ConfigurationHistory.create();
    // Every committed change was validated, so after one complete validation only the edits of this committer need
    // validation. A complete validation of 360,000 selectors takes longer than the time between two changes at the
    // target scale.
    private boolean completelyValidated;
    private RequestRouter router = RequestRouter.of(Configuration.empty());
    private boolean caughtUp;
    private long newestSnapshotRevision;

    private ChangeCommitter(ChangeStore store) {
        this.store = store;
        this.reader = ChangeReader.create(store);
        this.snapshots = StoredSnapshots.create(store);
    }

    /**
     * Creates a committer that has not read the store yet.
     *
     * @param store the store of the changes and snapshots
     * @return the committer
     */
    public static ChangeCommitter create(ChangeStore store) {
        return new ChangeCommitter(Objects.requireNonNull(store, "store"));
    }

    /**
     * Reads all changes that were committed since the last call.
     *
     * @return the newest configuration
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer, or with
     *     {@link ErrorCode#INVALID_INPUT} at a malformed change or snapshot
     */
    public synchronized Configuration refresh() {
        if (!caughtUp) {
            reader.catchUp(history);
            caughtUp = true;
        }
        // Later changes are read one by one, never through a snapshot, so that a change of this committer whose
        // response was lost is always found in the history.
        reader.applyNextChanges(history, Integer.MAX_VALUE);
        return history.configuration();
    }

    /**
     * Commits a change. If another operator creates the next revision first, the edits are rebased on it unless it
     * changed an entity that they edit.
     *
     * <p>The same operation can be committed again with the same edits after a failure; an operation that was already
     * committed is not committed twice. If another committer may have committed the operation, the caller of this
     * method has to call {@link #findOperation} first.
     *
     * @param operationId the unique id of the operation, 1 to 200 characters
     * @param edits the edits, at least one, each of another entity
     * @return the change as it was committed
     * @throws CassiabankException with {@link ErrorCode#CONFLICT} if an entity was changed since it was read, with
     *     {@link ErrorCode#INVALID_INPUT} if the resulting configuration would not be valid, the change is too large,
     *     the operation id was used for other edits, or the store holds a malformed value, or with
     *     {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer; only in the last case the change may have
     *     been accepted
     * @throws IllegalArgumentException if the operation id or the edits are not allowed
     */
    public synchronized Change commit(String operationId, List<Edit> edits) {
        // The constructor checks the operation and the edits.
        Change requested = new Change(1, operationId, edits);
        long attemptedRevision = 0;
        int unansweredRounds = 0;
        while (true) {
            try {
                Configuration current = refresh();
                Optional<Change> committed = findInHistory(operationId);
                if (committed.isPresent()) {
                    return requireSameEdits(committed.get(), requested);
                }
                Optional<Edit> outdated =
                        edits.stream().filter(edit -> !edit.isBasedOn(current)).findFirst();
                if (outdated.isPresent()) {
                    Optional<Change> earlier = findOperation(operationId);
                    if (earlier.isPresent()) {
                        return requireSameEdits(earlier.get(), requested);
                    }
                    throw conflictException(operationId, outdated.get(), current);
                }
                Change change = new Change(current.revision() + 1, operationId, edits);
                byte[] document = toValidatedDocument(change, current);
                attemptedRevision = change.revision();
                if (store.create(ChangeReader.changeKey(change.revision()), document)) {
                    history.apply(change);
                    writeSnapshotIfDue();
                    return change;
                }
                if (reader.read(change.revision()).isEmpty()) {
                    throw CassiabankException.of(
                            ErrorCode.STORE_UNAVAILABLE,
                            "the store refused to create revision " + change.revision() + ", but does not contain it");
                }
            } catch (CassiabankException e) {
                if (e.code() != ErrorCode.STORE_UNAVAILABLE) {
                    throw e;
                }
                // The round may already have read the committed change of this operation before the call that failed.
                Optional<Change> committed = findInHistory(operationId);
                if (committed.isPresent()) {
                    return requireSameEdits(committed.get(), requested);
                }
                unansweredRounds++;
                if (unansweredRounds >= MAXIMUM_UNANSWERED_ROUNDS) {
                    // An unanswered write can only take effect while no other change has the same revision.
                    boolean pending =
                            attemptedRevision > history.configuration().revision();
                    throw unavailableException(operationId, pending, e);
                }
            }
        }
    }

    /**
     * Finds a committed operation among the latest 512 changes.
     *
     * @param operationId the id of the operation
     * @return the change, or empty if none of these changes belongs to the operation
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer
     */
    public synchronized Optional<Change> findOperation(String operationId) {
        long newest = refresh().revision();
        Optional<Change> found = findInHistory(operationId);
        long oldest = Math.max(1, newest - ConfigurationHistory.KEPT_CHANGES + 1);
        for (long revision = newest; found.isEmpty() && revision >= oldest; revision--) {
            found = readChange(revision).filter(change -> change.operationId().equals(operationId));
        }
        return found;
    }

    private Optional<Change> findInHistory(String operationId) {
        long newest = history.configuration().revision();
        for (long since = Math.max(0, newest - ConfigurationHistory.KEPT_CHANGES); since < newest; since++) {
            Optional<List<Change>> changes = history.changesSince(since);
            if (changes.isPresent()) {
                return changes.get().stream()
                        .filter(change -> change.operationId().equals(operationId))
                        .findFirst();
            }
        }
        return Optional.empty();
    }

    private Optional<Change> readChange(long revision) {
        Optional<List<Change>> kept = history.changesSince(revision - 1);
        return kept.isPresent() ? kept.get().stream().findFirst() : reader.read(revision);
    }

    private byte[] toValidatedDocument(Change change, Configuration current) {
        String source = "operation " + change.operationId();
        Configuration next = change.applyTo(current);
        List<Finding> findings;
        if (completelyValidated) {
            router = router.withConfiguration(current);
            findings = ConfigurationValidator.validateChange(source, router, next);
        } else {
            findings = ConfigurationValidator.validate(source, next);
            completelyValidated = true;
        }
        if (!findings.isEmpty()) {
            throw CassiabankException.ofFindings(findings);
        }
        byte[] document = change.toDocument();
        if (document.length > MAXIMUM_DOCUMENT_BYTES) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT,
                    "operation " + change.operationId() + " has " + document.length + " bytes, but a change may have "
                            + MAXIMUM_DOCUMENT_BYTES + "; divide it into several operations");
        }
        return document;
    }

    private static Change requireSameEdits(Change committed, Change requested) {
        if (!contentsOf(committed).equals(contentsOf(requested))) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT,
                    "operation id " + committed.operationId() + " was used for other edits at revision "
                            + committed.revision());
        }
        return committed;
    }

    /** Returns the new declarations and deleted keys of a change, without the revisions that its operator had read. */
    private static List<Object> contentsOf(Change change) {
        return change.edits().stream()
                .<Object>map(edit -> switch (edit) {
                    case PutEdit put -> put.declaration();
                    case DeleteEdit delete -> delete.key();
                })
                .toList();
    }

    private CassiabankException conflictException(String operationId, Edit edit, Configuration current) {
        EntityKey key = edit.key();
        long changedAtRevision =
                current.find(key).map(VersionedDeclaration::revision).orElse(0L);
        Optional<Change> other = changedAtRevision > 0 ? readChange(changedAtRevision) : findDeletion(edit, current);
        String winningOperation = other.map(
                        change -> "operation " + change.operationId() + " at revision " + change.revision())
                .orElse("another operation");
        return CassiabankException.of(
                ErrorCode.CONFLICT,
                "operation " + operationId + " edits " + key + " as of revision " + edit.readRevision() + ", but "
                        + winningOperation + (changedAtRevision > 0 ? " changed" : " deleted")
                        + " it since; nothing was changed");
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
        if (current.revision() - newestSnapshotRevision < CHANGES_PER_SNAPSHOT) {
            return;
        }
        try {
            newestSnapshotRevision = snapshots.newestRevision();
            if (current.revision() - newestSnapshotRevision >= CHANGES_PER_SNAPSHOT && snapshots.write(current)) {
                newestSnapshotRevision = current.revision();
            }
        } catch (CassiabankException ignored) {
            // The change is already committed. The snapshot is still due at the next commit, which writes it.
        }
    }

    private static CassiabankException unavailableException(
            String operationId, boolean pending, CassiabankException cause) {
        String consequence = pending
                ? "operation " + operationId + " may have been accepted; repeat it with the same operation id"
                : "nothing was changed by operation " + operationId;
        return CassiabankException.withCause(
                ErrorCode.STORE_UNAVAILABLE, cause.getMessage() + "; " + consequence, cause);
    }
}
