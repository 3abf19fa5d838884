package org.cassiabank.source;

/**
 * Reads changes of the store through the peers that watch it, so that the calls to the store do not grow with the
 * number of daemons.
 */
public interface StoreRelay {

    /**
     * Tells whether this daemon is one of those that watch the store for the others.
     *
     * @return true if this daemon has to watch the store itself
     */
    boolean isWatcher();

    /**
     * Waits for changes at one peer after the other until one of them is current.
     *
     * @param afterRevision the position after which changes are returned, exclusive
     * @param waitMillis the longest wait at a peer that is current, in milliseconds
     * @param totalMillis the time in milliseconds by which the calls to all peers have ended
     * @return the reply of the first peer that watches the store; {@link StoreRelayReply.Unavailable} if there is none
     */
    StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis, long totalMillis);

    /**
     * Returns a relay for a daemon that watches the store itself and has no peers to ask.
     *
     * @return the relay
     */
    static StoreRelay none() {
        return new StoreRelay() {
            @Override
            public boolean isWatcher() {
                return true;
            }

            @Override
            public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis, long totalMillis) {
                return new StoreRelayReply.Unavailable();
            }
        };
    }
}
