package org.cassiabank.admission;

/**
 * A request that waits for a slot.
 */
final class Ticket {
    /** Deadlines further ahead count as one day, so that sums of times cannot overflow. */
    private static final long LONGEST_MILLIS = 86_400_000;

    private final long number;
    private final AdmissionRequest request;
    private final LaneKey laneKey;
    private final RouteCost route;
    private final boolean probe;
    private final long arrivedAt;
    private final long deadline;
    private double costMicros;
    private long renewedAt;
    private boolean queued;

    Ticket(long number, AdmissionRequest request, RouteCost route, double costMicros, boolean probe, long nowMillis) {
        this.number = number;
        this.request = request;
        this.laneKey = LaneKey.of(request);
        this.route = route;
        this.costMicros = costMicros;
        this.probe = probe;
        this.arrivedAt = nowMillis;
        this.deadline = nowMillis + Math.min(request.remainingMillis(), LONGEST_MILLIS);
        this.renewedAt = nowMillis;
    }

    long number() {
        return number;
    }

    AdmissionRequest request() {
        return request;
    }

    LaneKey laneKey() {
        return laneKey;
    }

    RouteCost route() {
        return route;
    }

    double costMicros() {
        return costMicros;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the last time at which a start still allows a response before the deadline. */
    long latestStart() {
        return probe ? deadline : deadline - (long) (costMicros / 1000);
    }

    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean value) {
        queued = value;
    }

    boolean isProbe() {
        return probe;
    }

    /** Changes the cost; only while the ticket is in no queue. */
    void reprice(double newCostMicros) {
        costMicros = newCostMicros;
    }

    long deadline() {
        return deadline;
    }

    long renewedAt() {
        return renewedAt;
    }

    void renew(long nowMillis) {
        renewedAt = nowMillis;
    }
}
