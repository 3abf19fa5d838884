package org.cassiabank.source;

import java.util.List;
import java.util.Objects;

/**
 * The changes between two revisions of keys that start with a prefix.
 *
 * @param events the changes in the order in which they happened; empty if the wait timed out
 * @param revision the position up to which the changes are complete, inclusive
 */
public record StoreWatchResult(List<StoreEvent> events, StoreRevision revision) {

    /**
     * Copies the events.
     *
     * @throws NullPointerException if a component or an event is null
     */
    public StoreWatchResult {
        events = List.copyOf(events);
        Objects.requireNonNull(revision, "revision");
    }
}
