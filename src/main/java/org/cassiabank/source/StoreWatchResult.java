package org.cassiabank.source;

import java.util.List;

/**
 * The changes of the keys with a common prefix between two revisions.
 *
 * @param events the changes in the order in which they happened; empty if the wait ended first
 * @param revision the revision up to which the changes are complete
 */
public record StoreWatchResult(List<StoreEvent> events, long revision) {

    /**
     * Copies the events.
     */
    public StoreWatchResult {
        events = List.copyOf(events);
    }
}
