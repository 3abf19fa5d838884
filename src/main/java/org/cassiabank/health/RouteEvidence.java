package org.cassiabank.health;

/** What all servers of the shard together show about one route. */
final class RouteEvidence {
    private final UsualRate errors = new UsualRate();
    private final UsualRate slowness = new UsualRate();
    private final LatencyProfile latencies = new LatencyProfile();

    UsualRate errors() {
        return errors;
    }

    UsualRate slowness() {
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
