package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.source.FleetUpdateListener;
import org.cassiabank.source.StateConfirmation;
import org.cassiabank.source.VersionedConfiguration;

/** Holds the last configuration and instance list that a source published, and counts its calls to the store. */
final class RecordingFleetListener implements FleetUpdateListener {
    private final Map<String, Integer> storeCalls = new ConcurrentHashMap<>();
    private volatile long revision;
    private volatile VersionedConfiguration configuration;
    private volatile long indexAtFirstConfiguration = -1;
    private volatile InstanceList instances = InstanceList.empty();

    boolean has(String name) {
        return instances.find(name).isPresent();
    }

    boolean isLeaving(String name) {
        return instances.find(name).filter(instance -> !instance.isLive()).isPresent();
    }

    /** Returns the index of the instance list that was in force when the first configuration came, or -1. */
    long indexAtFirstConfiguration() {
        return indexAtFirstConfiguration;
    }

    int storeCalls(String kind) {
        return storeCalls.getOrDefault(kind, 0);
    }

    @Override
    public long configurationRevision() {
        return revision;
    }

    @Override
    public long instanceListIndex() {
        return instances.index();
    }

    @Override
    public boolean install(VersionedConfiguration versionedConfiguration) {
        assertThat(versionedConfiguration.revision()).isGreaterThanOrEqualTo(revision);
        if (versionedConfiguration.equals(configuration)) {
            return false;
        }
        configuration = versionedConfiguration;
        if (indexAtFirstConfiguration < 0) {
            indexAtFirstConfiguration = instances.index();
        }
        revision = versionedConfiguration.revision();
        return true;
    }

    @Override
    public boolean install(InstanceList newInstances) {
        assertThat(newInstances.index()).isGreaterThan(instances.index());
        instances = newInstances;
        return true;
    }

    @Override
    public void recordConfirmation(StateConfirmation confirmation) {}

    @Override
    public void recordStoreCall(String kind) {
        storeCalls.merge(kind, 1, Integer::sum);
    }
}
