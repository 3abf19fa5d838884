package org.cassiabank.source;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a daemon that watches the store tells a peer that follows the store through it.
 */
public sealed interface StoreRelayReply {

    /**
     * The changes are complete up to a position that the store confirmed a moment ago.
     *
     * @param changes the changes, empty if none happened during the wait
     * @param graceMillis how long entries that expired in an outage of the store are still to be retained, in
     *     milliseconds, 0 if none are
     * @param confirmedBeforeCallMillis how long before the arrival of the call the store had confirmed the position, in
     *     milliseconds, negative if it did so during the wait; empty if the watcher does not tell, which is one of an
     *     earlier release
     */
    record Current(StoreWatchResult changes, long graceMillis, OptionalLong confirmedBeforeCallMillis)
            implements StoreRelayReply {

        /**
         * Checks the changes.
         *
         * @param changes the changes, not null
         * @param graceMillis the remaining grace period in milliseconds
         * @param confirmedBeforeCallMillis the time from the confirmation to the call in milliseconds, not null
         * @throws NullPointerException if an argument is null
         */
        public Current {
            Objects.requireNonNull(changes, "changes");
            Objects.requireNonNull(confirmedBeforeCallMillis, "confirmedBeforeCallMillis");
        }
    }

    /**
     * The daemon has read the store in another era than the one of the requested revision, so its changes do not
     * continue the entries of the peer.
     *
     * @param era the era of the daemon
     */
    record OtherEra(long era) implements StoreRelayReply {}

    /**
     * The daemon does not watch the store, has not heard from it for too long, or no longer keeps all changes after the
     * requested revision.
     */
    record Unavailable() implements StoreRelayReply {}
}
