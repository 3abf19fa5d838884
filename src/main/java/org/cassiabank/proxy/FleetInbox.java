package org.cassiabank.proxy;

import java.util.Objects;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.source.ConfigurationDocument;
import org.cassiabank.source.FleetTarget;

/**
 * Passes what a source learns on to the state of this daemon.
 */
final class FleetInbox implements FleetTarget {
    private final FleetState fleet;
    private final ProxyMetrics metrics;

    private FleetInbox(FleetState fleet, ProxyMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    static FleetInbox create(FleetState fleet, ProxyMetrics metrics) {
        return new FleetInbox(Objects.requireNonNull(fleet, "fleet"), Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public long revision() {
        return fleet.revision();
    }

    @Override
    public long listIndex() {
        return fleet.view().instances().index();
    }

    @Override
    public boolean install(ConfigurationDocument document) {
        return fleet.install(document);
    }

    @Override
    public boolean install(InstanceList instances) {
        return fleet.install(instances);
    }

    @Override
    public void storeCalled(String kind) {
        metrics.storeCalled(kind);
    }
}
