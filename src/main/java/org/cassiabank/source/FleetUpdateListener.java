package org.cassiabank.source;

import org.cassiabank.membership.InstanceList;

/**
 * Takes what a {@link FleetSource} learns. Nothing that is in force is replaced by something older.
 */
public interface FleetUpdateListener {

    /**
     * Returns the revision of the configuration in force.
     *
     * @return the revision, 0 before the first one
     */
    long configurationRevision();

    /**
     * Returns the index of the instance list in force.
     *
     * @return the index, 0 before the first list
     */
    long instanceListIndex();

    /**
     * Puts a configuration into force if it is newer.
     *
     * @param versionedConfiguration the whole configuration
     * @return true if it was installed
     */
    boolean install(VersionedConfiguration versionedConfiguration);

    /**
     * Puts an instance list into force if it is newer.
     *
     * @param instances the whole list
     * @return true if it was installed
     */
    boolean install(InstanceList instances);

    /**
     * Counts a call to the store.
     *
     * @param kind the kind of the call, for the metric
     */
    void recordStoreCall(String kind);
}
