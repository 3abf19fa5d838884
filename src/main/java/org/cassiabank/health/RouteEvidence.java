package org.cassiabank.health;

/** The baseline rates and the latencies of one route over all servers of the shard. */
final class RouteEvidence {
    private final BaselineRate errorRate = new BaselineRate();
    private final BaselineRate slowRate = new BaselineRate();
    private final LatencyProfile latencyProfile = new LatencyProfile();

    BaselineRate errorRate() {
        return errorRate;
    }

    BaselineRate slowRate() {
        return slowRate;
    }

    LatencyProfile latencyProfile() {
        return latencyProfile;
    }

    void removeServer(int serverIndex) {
        errorRate.removeServer(serverIndex);
        slowRate.removeServer(serverIndex);
    }
}
