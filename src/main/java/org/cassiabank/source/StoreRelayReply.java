package org.cassiabank.source;

import java.util.Objects;

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
     */
    record Current(StoreWatchResult changes, long graceMillis) implements StoreRelayReply {

        /**
         * Checks the changes.
         *
         * @param changes the changes, not null
         * @param graceMillis the remaining grace period in milliseconds
         * @throws NullPointerException if the changes are null
         */
        public Current {
            Objects.requireNonNull(changes, "changes");
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
