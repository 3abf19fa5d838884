package org.cassiabank.source;

import java.util.Optional;

/**
 * What the store or a watcher has told.
 *
 * @param changes the changes, empty if all entries have to be read
 * @param asOfMillis the time as of which the entries are complete with the changes, in milliseconds
 * @param graceMillis how long entries that expired in an outage of the store are still to be retained, in milliseconds,
 *     0 if a watcher has not said so
 * @param relayed whether a watcher told them
 */
record ReceivedChanges(Optional<StoreWatchResult> changes, long asOfMillis, long graceMillis, boolean relayed) {

    /** Tells whether there is at least one change. */
    boolean hasEvents() {
        return changes.filter(result -> !result.events().isEmpty()).isPresent();
    }
}
