package org.cassiabank.admission;

/**
 * A request for a slot with its estimated cost and its times; queued unless a slot is free at once.
 */
final class Ticket {
    /** Longer remaining times count as one day, so that sums of times cannot overflow. */
    private static final long MAXIMUM_REMAINING_MILLIS = 86_400_000;

    /**
     * The predicted wait of a queued request is checked again after this part of its target. Callers that are refused
     * by then can still be served in time elsewhere or later.
     */
    private static final int WAIT_CHECKS_PER_TARGET = 8;

    /** Bounds the checks of requests with very short targets; shards decide about time at intervals of 20 ms. */
    private static final long MINIMUM_WAIT_CHECK_INTERVAL_MILLIS = 20;

    private final long id;
    private final AdmissionRequest request;
    private final LaneKey laneKey;
    private final RouteCost routeCost;
    private final boolean probe;
    private final long arrivedAtMillis;
    private final long deadlineMillis;
    private double costMicros;
    private long renewedAtMillis;
    private double queueMarkMicros;
    private long nextWaitCheckMillis;
    private boolean queued;

    Ticket(long id, AdmissionRequest request, RouteCost routeCost, double costMicros, boolean probe, long nowMillis) {
        this.id = id;
        this.request = request;
        this.laneKey = LaneKey.of(request);
        this.routeCost = routeCost;
        this.costMicros = costMicros;
        this.probe = probe;
        this.arrivedAtMillis = nowMillis;
        this.deadlineMillis = nowMillis + Math.min(request.remainingMillis(), MAXIMUM_REMAINING_MILLIS);
        this.renewedAtMillis = nowMillis;
        this.nextWaitCheckMillis = nowMillis + waitCheckIntervalMillis();
    }

    long id() {
        return id;
    }

    AdmissionRequest request() {
        return request;
    }

    LaneKey laneKey() {
        return laneKey;
    }

    RouteCost routeCost() {
        return routeCost;
    }

    double costMicros() {
        return costMicros;
    }

    long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    /**
     * Returns the latest start that allows a response before the deadline; for a probe the deadline itself, because its
     * estimated cost is too high for any start.
     */
    long latestStartMillis() {
        return probe ? deadlineMillis : deadlineMillis - (long) (costMicros / 1000);
    }

    /** Tells whether a request that starts now can usually meet its target; true also if it states none. */
    boolean isTimely(long nowMillis) {
        return request.statedTargetMillis() == 0
                || nowMillis + (long) (costMicros / 1000) <= arrivedAtMillis + request.targetLatencyMillis();
    }

    /** Returns the mark that {@link Flow#addedMicros()} had after the ticket was queued. */
    double queueMarkMicros() {
        return queueMarkMicros;
    }

    void setQueueMarkMicros(double markMicros) {
        queueMarkMicros = markMicros;
    }

    /** Returns when the predicted wait is compared again with the time left. */
    long nextWaitCheckMillis() {
        return nextWaitCheckMillis;
    }

    void scheduleWaitCheck(long nowMillis) {
        nextWaitCheckMillis = nowMillis + waitCheckIntervalMillis();
    }

    private long waitCheckIntervalMillis() {
        long wholeMillis = request.statedTargetMillis() > 0 ? request.statedTargetMillis() : request.remainingMillis();
        return Math.max(MINIMUM_WAIT_CHECK_INTERVAL_MILLIS, wholeMillis / WAIT_CHECKS_PER_TARGET);
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

    /** Replaces the estimated cost; must not be called while the ticket is queued, because queues sum up the costs. */
    void updateCost(double newCostMicros) {
        costMicros = newCostMicros;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    long renewedAtMillis() {
        return renewedAtMillis;
    }

    void renew(long nowMillis) {
        renewedAtMillis = nowMillis;
    }
}
