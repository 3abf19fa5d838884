package org.cassiabank.proxy;

import org.cassiabank.source.FleetSource;
import org.cassiabank.source.FleetUpdateListener;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;

/** A fleet source that never installs anything. */
final class NoOpFleetSource implements FleetSource {
    private final boolean upToDate;
    private final boolean configurationSettled;

    private NoOpFleetSource(boolean upToDate, boolean configurationSettled) {
        this.upToDate = upToDate;
        this.configurationSettled = configurationSettled;
    }

    static NoOpFleetSource create(boolean upToDate) {
        return new NoOpFleetSource(upToDate, true);
    }

    /** Returns a source that follows a store which may have lost changes of the configuration. */
    static NoOpFleetSource withUnsettledConfiguration() {
        return new NoOpFleetSource(true, false);
    }

    @Override
    public void start(FleetUpdateListener listener) {}

    @Override
    public boolean isUpToDate() {
        return upToDate;
    }

    @Override
    public boolean isConfigurationSettled() {
        return configurationSettled;
    }

    @Override
    public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis) {
        return new StoreRelayReply.Unavailable();
    }

    @Override
    public void announceLeaving() {}

    @Override
    public void close() {}
}
