package org.cassiabank.revision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * The configuration in force and the latest changes that led to it. The revision in force never decreases.
 *
 * <p>Instances are thread-safe. Reading the configuration takes no lock.
 */
public final class ConfigurationHistory {
    /** The number of latest changes that are kept for peers that lack them. */
    public static final int KEPT_CHANGES = 512;

    private final Deque<Change> changes = new ArrayDeque<>();
    private volatile Configuration configuration = Configuration.empty();

    private ConfigurationHistory() {}

    /**
     * Creates a history that starts with the empty configuration.
     *
     * @return the history
     */
    public static ConfigurationHistory create() {
        return new ConfigurationHistory();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty with revision 0 before the first change
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Applies a change if it leads to the next revision.
     *
     * @param change the change
     * @return true if it was applied, false if its revision is not the next one
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if its revision is the next one but its edits do
     *     not fit the configuration in force, which then remains in force
     */
    public synchronized boolean apply(Change change) {
        Objects.requireNonNull(change, "change");
        if (change.revision() != configuration.revision() + 1) {
            return false;
        }
        configuration = change.applyTo(configuration);
        changes.addLast(change);
        if (changes.size() > KEPT_CHANGES) {
            changes.removeFirst();
        }
        return true;
    }

    /**
     * Installs a snapshot if it is newer. The kept changes are dropped, because they do not lead up to the new
     * configuration in force.
     *
     * @param snapshot the snapshot as {@link #encodeSnapshot()} returns it
     * @return true if it was installed, false if it is not newer
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if it is damaged; the configuration in force
     *     remains
     */
    public boolean installSnapshot(byte[] snapshot) {
        Objects.requireNonNull(snapshot, "snapshot");
        Configuration installed = Snapshots.read(snapshot);
        synchronized (this) {
            if (installed.revision() <= configuration.revision()) {
                return false;
            }
            configuration = installed;
            changes.clear();
            return true;
        }
    }

    /**
     * Installs a complete configuration if it is newer, or if its revision is the one in force and its entities are
     * not: operators may write a revision again that the store had lost. The kept changes are dropped. Unchanged
     * entities are shared with the former configuration to save memory.
     *
     * @param revision the revision of the new configuration
     * @param declarations the declarations of all its entities
     * @return true if it was installed, false if it is older or the same
     * @throws IllegalArgumentException if a key occurs twice
     */
    public synchronized boolean installConfiguration(long revision, Collection<Declaration> declarations) {
        if (revision < configuration.revision()) {
            return false;
        }
        Configuration installed = configuration.withEntities(revision, declarations);
        if (revision == configuration.revision() && installed.entities().equals(configuration.entities())) {
            return false;
        }
        configuration = installed;
        changes.clear();
        return true;
    }

    /**
     * Returns the changes that a peer lacks.
     *
     * @param revision the revision of the peer
     * @return the changes after that revision in order, an empty list if the peer lacks none; empty if they are no
     *     longer all kept, so that the peer needs a snapshot
     */
    public synchronized Optional<List<Change>> changesSince(long revision) {
        if (revision >= configuration.revision()) {
            return Optional.of(List.of());
        }
        if (changes.isEmpty() || changes.getFirst().revision() > revision + 1) {
            return Optional.empty();
        }
        return Optional.of(
                changes.stream().filter(change -> change.revision() > revision).toList());
    }

    /**
     * Writes the configuration in force as a snapshot.
     *
     * @return the snapshot, compressed with gzip
     */
    public byte[] encodeSnapshot() {
        return Snapshots.write(configuration);
    }
}
