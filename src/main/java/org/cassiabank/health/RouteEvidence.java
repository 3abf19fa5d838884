package org.cassiabank.health;

/** What all servers of the shard together show about one route. */
final class RouteEvidence {
    private final PeerRate errors = new PeerRate();
    private final PeerRate slowness = new PeerRate();
    private final LatencyProfile latencies = new LatencyProfile();

    PeerRate errors() {
        return errors;
    }

    PeerRate slowness() {
        return slowness;
    }

    LatencyProfile latencies() {
        return latencies;
    }

    void forget(int server) {
        errors.forget(server);
        slowness.forget(server);
    }
}
