package org.cassiabank.source;

/**
 * Reads the configuration, the backend servers and the peers of a daemon and publishes them to a listener.
 */
public interface FleetSource extends AutoCloseable {

    /**
     * Starts reading in the background and publishes each change to the listener.
     *
     * @param listener receives configurations and instance lists
     */
    void start(FleetUpdateListener listener);

    /**
     * Returns whether this source is up to date with its origin, so that peers need not be asked.
     *
     * @return false while the origin does not respond, or if this source reads through peers
     */
    boolean isUpToDate();

    /**
     * Returns whether no peer is expected to know a newer configuration than the origin.
     *
     * @return false while the origin may have lost changes that it had confirmed, so that peers have to be asked
     */
    boolean isConfigurationSettled();

    /**
     * Answers a peer that follows the origin through this daemon.
     *
     * @param afterRevision the position after which the peer needs changes, exclusive
     * @param waitMillis the longest wait for changes in milliseconds
     * @return the changes, or why this daemon cannot tell them
     */
    StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis);

    /**
     * Announces to peers and to the platform that this daemon accepts no new work.
     */
    void announceLeaving();

    /**
     * Stops reading and publishing.
     */
    @Override
    void close();
}
