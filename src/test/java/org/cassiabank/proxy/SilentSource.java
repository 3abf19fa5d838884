package org.cassiabank.proxy;

import org.cassiabank.source.FleetSource;
import org.cassiabank.source.FleetTarget;

/** A source that learns nothing. */
final class SilentSource implements FleetSource {

    @Override
    public void start(FleetTarget target) {}

    @Override
    public boolean isCurrent() {
        return false;
    }

    @Override
    public void announceLeaving() {}

    @Override
    public void close() {}
}
