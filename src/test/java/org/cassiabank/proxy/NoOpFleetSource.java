package org.cassiabank.proxy;

import org.cassiabank.source.FleetSource;
import org.cassiabank.source.FleetUpdateListener;
import org.cassiabank.source.StoreRelayReply;

/** A fleet source that never installs anything. */
final class NoOpFleetSource implements FleetSource {
    private final boolean upToDate;

    private NoOpFleetSource(boolean upToDate) {
        this.upToDate = upToDate;
    }

    static NoOpFleetSource create(boolean upToDate) {
        return new NoOpFleetSource(upToDate);
    }

    @Override
    public void start(FleetUpdateListener listener) {}

    @Override
    public boolean isUpToDate() {
        return upToDate;
    }

    @Override
    public StoreRelayReply awaitChanges(long afterRevision, long waitMillis) {
        return new StoreRelayReply.Unavailable();
    }

    @Override
    public void announceLeaving() {}

    @Override
    public void close() {}
}
