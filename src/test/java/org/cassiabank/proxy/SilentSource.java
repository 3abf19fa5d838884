package org.cassiabank.proxy;

import org.cassiabank.source.FleetSource;
import org.cassiabank.source.FleetUpdateListener;

/** A source that learns nothing. */
final class SilentSource implements FleetSource {
    private final boolean current;

    private SilentSource(boolean current) {
        this.current = current;
    }

    static SilentSource create(boolean current) {
        return new SilentSource(current);
    }

    @Override
    public void start(FleetUpdateListener listener) {}

    @Override
    public boolean isUpToDate() {
        return current;
    }

    @Override
    public void announceLeaving() {}

    @Override
    public void close() {}
}
