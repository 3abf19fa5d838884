package org.cassiabank.source;

/**
 * Where a daemon learns the configuration, the backend servers and its peers from.
 */
public interface FleetSource extends AutoCloseable {

    /**
     * Begins to read and to publish.
     *
     * @param listener receives what is learned
     */
    void start(FleetUpdateListener listener);

    /**
     * Tells whether everything that the origin published is known, so that no peer has to be asked.
     *
     * @return false while the origin does not answer, or if the source follows it through peers
     */
    boolean isUpToDate();

    /**
     * Tells peers and the platform that this daemon takes no new work.
     */
    void announceLeaving();

    /**
     * Stops reading.
     */
    @Override
    void close();
}
