package org.cassiabank.proxy;

import java.util.Objects;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.source.FleetUpdateListener;
import org.cassiabank.source.StateConfirmation;
import org.cassiabank.source.VersionedConfiguration;

/**
 * Installs the configurations and instance lists of a fleet source in the state of this daemon, and counts the calls to
 * the store.
 */
final class FleetStateUpdater implements FleetUpdateListener {
    private final FleetState fleet;
    private final ProxyMetrics metrics;

    private FleetStateUpdater(FleetState fleet, ProxyMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    static FleetStateUpdater create(FleetState fleet, ProxyMetrics metrics) {
        return new FleetStateUpdater(
                Objects.requireNonNull(fleet, "fleet"), Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public long configurationRevision() {
        return fleet.revision();
    }

    @Override
    public long instanceListIndex() {
        return fleet.view().instances().index();
    }

    @Override
    public boolean install(VersionedConfiguration versionedConfiguration) {
        return fleet.install(versionedConfiguration);
    }

    @Override
    public boolean install(InstanceList instances) {
        return fleet.install(instances);
    }

    @Override
    public void recordConfirmation(StateConfirmation confirmation) {
        fleet.recordConfirmation(confirmation);
    }

    @Override
    public void recordStoreCall(String kind) {
        metrics.recordStoreCall(kind);
    }
}
