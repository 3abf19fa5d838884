package org.cassiabank.source;

import java.util.List;

/**
 * The changes between two revisions of keys that start with a prefix.
 *
 * @param events the changes in the order in which they happened; empty if the wait timed out
 * @param revision the revision up to which the changes are complete, inclusive
 */
public record StoreWatchResult(List<StoreEvent> events, long revision) {

    /**
     * Copies the events.
     *
     * @throws NullPointerException if the list or an event is null
     */
    public StoreWatchResult {
        events = List.copyOf(events);
    }
}
