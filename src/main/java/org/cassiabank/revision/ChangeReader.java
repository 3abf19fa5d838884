package org.cassiabank.revision;

import java.util.Objects;
import java.util.Optional;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Reads the committed changes, one key per revision, and the newest snapshot from the store.
 */
public final class ChangeReader {
    /** The store key whose value names the parts of the newest snapshot. */
    public static final String SNAPSHOT_KEY = "cassiabank/snapshot";

    private static final String CHANGE_PREFIX = "cassiabank/change/";
    // Reading this many changes one by one costs about as much as reading the parts of a snapshot.
    private static final int CHANGES_BEFORE_SNAPSHOT = 200;

    private final ChangeStore store;
    private final StoredSnapshots snapshots;

    private ChangeReader(ChangeStore store) {
        this.store = store;
        this.snapshots = StoredSnapshots.create(store);
    }

    /**
     * Creates a reader that keeps no state between calls.
     *
     * @param store the store of the changes and snapshots
     * @return the reader
     */
    public static ChangeReader create(ChangeStore store) {
        return new ChangeReader(Objects.requireNonNull(store, "store"));
    }

    /**
     * Returns the store key of a change.
     *
     * @param revision the revision that the change leads to
     * @return the store key
     */
    public static String changeKey(long revision) {
        return CHANGE_PREFIX + revision;
    }

    /**
     * Reads the change that leads to a revision.
     *
     * @param revision the revision that the change leads to
     * @return the change, or empty if there is none yet
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the stored document is malformed or states
     *     another revision, or with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer
     */
    public Optional<Change> read(long revision) {
        Optional<StoredValue> stored = store.read(changeKey(revision));
        if (stored.isEmpty()) {
            return Optional.empty();
        }
        try {
            Change change = Change.fromDocument(stored.get().value());
            if (change.revision() != revision) {
                throw CassiabankException.of(
                        ErrorCode.INVALID_INPUT, "the document states revision " + change.revision());
            }
            return Optional.of(change);
        } catch (CassiabankException e) {
            throw CassiabankException.withCause(
                    e.code(), "malformed change at key " + changeKey(revision) + ": " + e.getMessage(), e);
        }
    }

    /**
     * Brings a history up to the newest change in the store. An empty history starts from the newest snapshot, and a
     * history that lacks many changes continues from it.
     *
     * @param history the history to update
     * @return true if its configuration changed
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer, or with
     *     {@link ErrorCode#INVALID_INPUT} at a malformed change or snapshot; changes that were applied
     *     before remain in force
     */
    public boolean catchUp(ConfigurationHistory history) {
        long revisionBefore = history.configuration().revision();
        if (revisionBefore == 0) {
            snapshots.load(history);
        }
        while (applyNextChanges(history, CHANGES_BEFORE_SNAPSHOT)) {
            snapshots.load(history);
        }
        return history.configuration().revision() > revisionBefore;
    }

    /** Applies changes one by one; returns true if the maximum was reached, so that there may be more. */
    boolean applyNextChanges(ConfigurationHistory history, int maximumChanges) {
        for (int applied = 0; applied < maximumChanges; applied++) {
            Optional<Change> next = read(history.configuration().revision() + 1);
            if (next.isEmpty()) {
                return false;
            }
            history.apply(next.get());
        }
        return true;
    }
}
