package org.cassiabank.source;

import org.cassiabank.membership.InstanceList;

/**
 * Receives the configurations and instance lists that a {@link FleetSource} reads. A configuration or list in force is
 * never replaced by an older one.
 */
public interface FleetUpdateListener {

    /**
     * Returns the revision of the configuration in force.
     *
     * @return the revision, 0 before the first configuration
     */
    long configurationRevision();

    /**
     * Returns the index of the instance list in force.
     *
     * @return the index, 0 before the first list
     */
    long instanceListIndex();

    /**
     * Puts a configuration into force if it is newer than the one in force, or another one of the same revision.
     *
     * @param versionedConfiguration the complete configuration
     * @return true if it was installed
     */
    boolean install(VersionedConfiguration versionedConfiguration);

    /**
     * Puts an instance list into force if it is newer than the one in force.
     *
     * @param instances the complete list
     * @return true if it was installed
     */
    boolean install(InstanceList instances);

    /**
     * Records that what has been installed so far is complete as of a moment. Not called by a source that cannot tell.
     *
     * @param confirmation the evidence
     */
    void recordConfirmation(StateConfirmation confirmation);

    /**
     * Counts a call to the store in the metrics.
     *
     * @param kind the kind of the call, the value of the metric label {@code kind}
     */
    void recordStoreCall(String kind);
}
