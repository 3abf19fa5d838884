package org.cassiabank.revision;

import java.util.Objects;
import java.util.Optional;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Reads the changes and snapshots in the store.
 */
public final class ChangeReader {
    /** The key of the newest snapshot. */
    public static final String SNAPSHOT_KEY = "cassiabank/snapshot";

    private static final String CHANGE_PREFIX = "cassiabank/change/";
    // Reading this many changes one by one costs about as much as reading the parts of a snapshot.
    private static final int RUN_BEFORE_SNAPSHOT = 200;

    private final ChangeStore store;
    private final StoredSnapshots snapshots;

    private ChangeReader(ChangeStore store) {
        this.store = store;
        this.snapshots = StoredSnapshots.over(store);
    }

    /**
     * Creates a reader.
     *
     * @param store the store
     * @return the reader
     */
    public static ChangeReader create(ChangeStore store) {
        return new ChangeReader(Objects.requireNonNull(store, "store"));
    }

    /**
     * Returns the key of a change in the store.
     *
     * @param revision the revision that the change leads to
     * @return the key
     */
    public static String changeKey(long revision) {
        return CHANGE_PREFIX + revision;
    }

    /**
     * Reads a change.
     *
     * @param revision the revision that the change leads to
     * @return the change, or empty if there is none yet
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the stored document is malformed
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
     * Brings a history up to the newest change in the store, through a snapshot if it is far behind.
     *
     * @param history the history
     * @return true if its configuration changed
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the store does not answer, or with
     *     {@link ErrorCode#INVALID_INPUT} at a malformed change; what was applied before stays
     */
    public boolean catchUp(ConfigurationHistory history) {
        long before = history.configuration().revision();
        if (before == 0) {
            snapshots.load(history);
        }
        while (follow(history, RUN_BEFORE_SNAPSHOT)) {
            snapshots.load(history);
        }
        return history.configuration().revision() > before;
    }

    /** Applies changes one by one; tells whether the limit was reached, so that there may be more. */
    boolean follow(ConfigurationHistory history, int limit) {
        for (int applied = 0; applied < limit; applied++) {
            Optional<Change> next = read(history.configuration().revision() + 1);
            if (next.isEmpty()) {
                return false;
            }
            history.apply(next.get());
        }
        return true;
    }
}
