package org.cassiabank.admission;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.LongPredicate;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerHealth;

/**
 * The scheduling state of one backend server: its leases, cold-start ramp, backoff, failure share and latency.
 */
final class ServerState {
    /** The usable slots of a cold server double after this time or after the number of responses below. */
    private static final long RAMP_STEP_MILLIS = 1000;

    private static final int RAMP_STEP_RESPONSES = 5;

    /** The number of short requests between two long ones at a server with a single slot when both are queued. */
    private static final int SHORT_REQUESTS_PER_LONG_REQUEST = 5;
    /** Limits the backoff to 16 times its initial duration. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;
    /**
     * A failed attempt counts as a response that took this many times the mean time of its route, so that a server that
     * fails fast is not preferred.
     */
    private static final double FAILURE_RELATIVE_LATENCY = 4;

    /** Opening a connection briefly occupies a slot of the server and costs it as much as a small request. */
    private static final double NEW_CONNECTION_COST_LEASES = 1;

    /** A server counts as mostly failing from this failure share on. */
    private static final double MOSTLY_FAILING_SHARE = 0.5;

    /** A healthy server counts as reliable below this failure share. */
    private static final double RELIABLE_FAILURE_SHARE = 0.3;

    /** The minimum interval between repeatable test requests to a server that mostly fails. */
    private static final long FAILING_SERVER_TEST_INTERVAL_MILLIS = 250;

    /** A server that mostly failed gets a repeatable request after this time without any, whatever slots are free. */
    private static final long REPEATABLE_TEST_DELAY_MILLIS = 1_000;

    /** The same for an unrepeatable request, which is lost if the test fails. */
    private static final long UNREPEATABLE_TEST_DELAY_MILLIS = 3_000;

    /** A slower trial does not keep a server on probation from another one; each one doubles the time to the next. */
    private static final long TRIAL_PATIENCE_MILLIS = 1_500;

    private static final int MAXIMUM_PATIENCE_DOUBLINGS = 8;

    /** The time between trials while the servers in use cannot carry the load. */
    private static final long TRIAL_PATIENCE_IF_NEEDED_MILLIS = 1_000;

    /** How many requests may try a server on probation at once while they would have to wait otherwise. */
    private static final int MAXIMUM_TRIALS_OF_WAITING_REQUESTS = 3;

    private static final double MICROS_PER_SECOND = 1_000_000;

    private static final double LATENCY_AVERAGE_RESPONSES = 16;

    /** The latency average is ignored after this time without attempts, so that an avoided server is tried again. */
    private static final long LATENCY_VALIDITY_MILLIS = 2000;

    /**
     * The latency of a server without a grant for this long is ignored. The outlier detection needs about 20 requests a
     * second to classify a server within 2 s; a suspected server that gets no requests is neither ejected nor cleared.
     */
    private static final long MAXIMUM_AVOIDANCE_MILLIS = 50;

    /** Tells for a time in milliseconds whether all healthy servers of the shard back off. */
    private final LongPredicate allServersBackOff;

    private SchedulableServer schedulableServer;
    private boolean present = true;
    /** Present while the server names a limit of requests a second. */
    private Optional<RequestRateLimiter> rateLimiter = Optional.empty();

    private int leases;
    private int longWorkLeases;
    private int rampSlots;
    private int rampStepResponses;
    private long rampStepStartMillis;
    private double averageRelativeLatency = 1;
    private long latencyUpdatedAtMillis;
    private int consecutiveSheds;
    private long backoffEndMillis = Long.MIN_VALUE;
    private long initialBackoffEndMillis = Long.MIN_VALUE;
    private int backoffSlots;
    private long lastLeaseId;
    private long lastAnsweredLeaseId;
    private long lastGrantAtMillis = Long.MIN_VALUE / 2;
    private int shortGrantsSinceLong;
    private long probationSinceMillis;
    /** The latest lease that was granted before the probation. */
    private long lastLeaseIdBeforeProbation;
    /** The leases that were granted during the probation. */
    private int trialLeases;

    private final FailureHistory failures = new FailureHistory();

    ServerState(SchedulableServer schedulableServer, boolean cold, long nowMillis, LongPredicate allServersBackOff) {
        this.allServersBackOff = allServersBackOff;
        this.schedulableServer = schedulableServer;
        this.rampSlots = cold ? 1 : Integer.MAX_VALUE;
        this.rampStepStartMillis = nowMillis;
        this.probationSinceMillis = nowMillis;
    }

    void update(SchedulableServer newServer, long nowMillis) {
        if (newServer.health() == ServerHealth.PROBATION && schedulableServer.health() != ServerHealth.PROBATION) {
            probationSinceMillis = nowMillis;
            lastLeaseIdBeforeProbation = lastLeaseId;
            trialLeases = 0;
        }
        schedulableServer = newServer;
        present = true;
        updateRateLimiter(nowMillis);
    }

    private void updateRateLimiter(long nowMillis) {
        OptionalDouble requestsPerSecond = schedulableServer.requestsPerSecond();
        if (requestsPerSecond.isEmpty()) {
            rateLimiter = Optional.empty();
        } else if (rateLimiter.isEmpty()) {
            rateLimiter = Optional.of(RequestRateLimiter.create(requestsPerSecond.getAsDouble(), nowMillis));
        } else {
            rateLimiter.get().setRate(requestsPerSecond.getAsDouble(), nowMillis);
        }
    }

    void markRemoved() {
        present = false;
    }

    SchedulableServer schedulableServer() {
        return schedulableServer;
    }

    int leases() {
        return leases;
    }

    int longWorkLeases() {
        return longWorkLeases;
    }

    /** Tells whether the server is listed, not leaving and not ejected. */
    boolean isActive() {
        return present && !schedulableServer.leaving() && schedulableServer.health() != ServerHealth.EJECTED;
    }

    boolean isHealthy() {
        return isActive() && schedulableServer.health() == ServerHealth.HEALTHY;
    }

    boolean isOnProbation() {
        return isActive() && schedulableServer.health() == ServerHealth.PROBATION;
    }

    boolean isWarm(long nowMillis) {
        while (rampSlots < schedulableServer.slots() && nowMillis - rampStepStartMillis >= RAMP_STEP_MILLIS) {
            raiseRamp(rampStepStartMillis + RAMP_STEP_MILLIS);
        }
        return rampSlots >= schedulableServer.slots();
    }

    boolean hasLabels(Map<String, String> labels) {
        return labels.isEmpty() || schedulableServer.labels().entrySet().containsAll(labels.entrySet());
    }

    /**
     * Returns the number of slots that the scheduler may fill now, limited by the cold-start ramp, probation and
     * backoff; 0 for a server that gets no new work.
     */
    int usableSlots(long nowMillis) {
        if (!isActive()) {
            return 0;
        }
        int slots = isWarm(nowMillis) ? schedulableServer.slots() : rampSlots;
        if (schedulableServer.health() == ServerHealth.PROBATION) {
            slots = 1;
        }
        return backsOff(nowMillis) ? Math.min(slots, backoffSlots) : slots;
    }

    private boolean backsOff(long nowMillis) {
        // A doubled backoff moves work to servers that shed nothing. If there are none, it would leave servers idle
        // while requests are refused.
        return nowMillis < initialBackoffEndMillis || isBackingOff(nowMillis) && !allServersBackOff.test(nowMillis);
    }

    /** Tells whether the server has a free slot and accepts another request now. */
    boolean hasFreeSlot(long nowMillis) {
        return leases < usableSlots(nowMillis) && allowsRequest(nowMillis);
    }

    /**
     * Tells whether a server on probation may be tried with another request now. Requests from before the probation may
     * never be answered, so they do not keep the server from being tried unless they hold all its slots.
     *
     * @param repeatable whether the request may run again elsewhere if the trial fails
     * @param hasToWait whether no other server has a free slot for the request
     * @param needed whether the servers in use cannot carry the load
     * @param nowMillis the current time in milliseconds
     */
    boolean isFreeForTrial(boolean repeatable, boolean hasToWait, boolean needed, long nowMillis) {
        if (backsOff(nowMillis)) {
            return hasFreeSlot(nowMillis);
        }
        long patienceMillis = needed || hasToWait
                ? TRIAL_PATIENCE_IF_NEEDED_MILLIS
                : TRIAL_PATIENCE_MILLIS << Math.clamp(trialLeases - 1, 0, MAXIMUM_PATIENCE_DOUBLINGS);
        boolean hasTrialSlot = trialLeases == 0
                || repeatable
                        && (nowMillis - lastGrantAtMillis >= patienceMillis
                                || hasToWait && trialLeases < MAXIMUM_TRIALS_OF_WAITING_REQUESTS);
        return hasTrialSlot && leases < schedulableServer.slots() && allowsRequest(nowMillis);
    }

    /** Returns the requests of a mean cost in microseconds that the server can run at once on average, in slots. */
    double usableCapacity(double costMicros, long nowMillis) {
        double slots = usableSlots(nowMillis);
        return rateLimiter.isEmpty()
                ? slots
                : Math.min(slots, rateLimiter.get().requestsPerSecond() * costMicros / MICROS_PER_SECOND);
    }

    private boolean allowsRequest(long nowMillis) {
        return rateLimiter.isEmpty() || rateLimiter.get().allowsRequest(nowMillis);
    }

    /** Tells whether the server has shed a request so recently that its slots are limited. */
    boolean isBackingOff(long nowMillis) {
        return nowMillis < backoffEndMillis;
    }

    /**
     * Tells whether long work may occupy a free slot.
     *
     * @param prioritized whether long work is below its guaranteed slots or has waited for the ageing time
     * @param shortWorkQueued whether short work is queued
     * @param nowMillis the current time in milliseconds
     */
    boolean hasSlotForLongWork(boolean prioritized, boolean shortWorkQueued, long nowMillis) {
        int usable = usableSlots(nowMillis);
        if (!hasFreeSlot(nowMillis)) {
            return false;
        }
        if (usable == 1) {
            // Without alternation, prioritized long work would occupy a single slot each time that it becomes free.
            return (prioritized || schedulableServer.slots() == 1)
                    && (!shortWorkQueued || shortGrantsSinceLong >= SHORT_REQUESTS_PER_LONG_REQUEST);
        }
        return longWorkLeases < usable - 1 && (prioritized || usable - leases >= 2);
    }

    boolean hasNoGrantSince(long sinceMillis) {
        return lastGrantAtMillis < sinceMillis;
    }

    /** Tells whether the server has been on probation since before the given time and got no request since then. */
    boolean isUntestedSince(long sinceMillis) {
        return probationSinceMillis < sinceMillis && lastGrantAtMillis < sinceMillis;
    }

    /** Tells whether at least half of the recent attempts at the server failed. */
    boolean isMostlyFailing(long nowMillis) {
        return failures.failureShare(nowMillis) >= MOSTLY_FAILING_SHARE;
    }

    /** Tells whether the server is healthy and fewer than 30% of its recent attempts failed. */
    boolean isReliable(long nowMillis) {
        return isHealthy() && failures.failureShare(nowMillis) < RELIABLE_FAILURE_SHARE;
    }

    /** Tells whether a server that mostly fails may get a repeatable test request that would have to wait otherwise. */
    boolean isDueForFailingServerTest(long nowMillis) {
        return leases == 0 && lastGrantAtMillis + FAILING_SERVER_TEST_INTERVAL_MILLIS <= nowMillis;
    }

    /** Tells whether a server that mostly fails has got no request for so long that its failures are out of date. */
    boolean isUntestedForLong(boolean repeatable, long nowMillis) {
        long untestedMillis = repeatable ? REPEATABLE_TEST_DELAY_MILLIS : UNREPEATABLE_TEST_DELAY_MILLIS;
        return hasNoGrantSince(nowMillis - untestedMillis);
    }

    /** Tells whether an attempt that was granted during the present probation has been answered. */
    boolean hasAnsweredTrial() {
        return isOnProbation() && lastAnsweredLeaseId > lastLeaseIdBeforeProbation;
    }

    FailureHistory failures() {
        return failures;
    }

    long millisSinceLastGrant(long nowMillis) {
        return nowMillis - lastGrantAtMillis;
    }

    void recordGrant(boolean longWork, long leaseId, long nowMillis) {
        leases++;
        trialLeases++;
        lastLeaseId = leaseId;
        lastGrantAtMillis = nowMillis;
        rateLimiter.ifPresent(limiter -> limiter.recordGrant(nowMillis));
        if (longWork) {
            longWorkLeases++;
            shortGrantsSinceLong = 0;
        } else {
            shortGrantsSinceLong++;
        }
    }

    void recordRelease(boolean longWork, long leaseId) {
        leases--;
        trialLeases -= leaseId > lastLeaseIdBeforeProbation ? 1 : 0;
        longWorkLeases -= longWork ? 1 : 0;
    }

    void recordCostClassChange(boolean nowLongWork) {
        longWorkLeases += nowLongWork ? 1 : -1;
    }

    /**
     * Records the end of an attempt that the server may have run.
     *
     * @param outcome how it ended, not {@link AttemptOutcome#NOT_RUN}
     * @param leaseId the lease of the attempt
     * @param relativeLatency its latency as a multiple of the mean of its route
     * @param nowMillis the current time in milliseconds
     */
    void recordOutcome(AttemptOutcome outcome, long leaseId, double relativeLatency, long nowMillis) {
        switch (outcome) {
            case ANSWERED -> recordResponse(leaseId, relativeLatency, nowMillis);
            case FAILED -> recordFailure(nowMillis);
            case BROKEN, SPOILED, OVERDUE -> {
                // A response to a later request outweighs an attempt that ends after it.
                if (lastAnsweredLeaseId <= leaseId) {
                    recordFailure(nowMillis);
                }
            }
            case NOT_RUN, CANCELLED -> {
                // The time until a cancellation is no measure of the server.
            }
        }
    }

    private void recordResponse(long leaseId, double relativeLatency, long nowMillis) {
        lastAnsweredLeaseId = Math.max(lastAnsweredLeaseId, leaseId);
        consecutiveSheds = 0;
        failures.recordResponse(nowMillis);
        if (isReliable(nowMillis)) {
            failures.forgetFailedUnrepeatableTests();
        }
        updateRelativeLatency(relativeLatency, nowMillis);
        rampStepResponses++;
        if (rampStepResponses >= RAMP_STEP_RESPONSES && !isWarm(nowMillis)) {
            raiseRamp(nowMillis);
        }
    }

    private void recordFailure(long nowMillis) {
        failures.recordFailure(nowMillis);
        updateRelativeLatency(FAILURE_RELATIVE_LATENCY, nowMillis);
    }

    /**
     * Starts a backoff after the server shed a request, which shows that it has more load than its leases. Until the
     * backoff ends, its leases do not exceed their present number. Each further shed before the next response doubles
     * the backoff, but only the initial one counts while all servers back off.
     */
    void recordShed(long backoffMillis, long nowMillis) {
        backoffSlots = leases;
        initialBackoffEndMillis = nowMillis + backoffMillis;
        backoffEndMillis = nowMillis + (backoffMillis << Math.min(consecutiveSheds, MAXIMUM_BACKOFF_DOUBLINGS));
        consecutiveSheds++;
    }

    /**
     * Compares by the placement cost, which is the leases and the cost of reaching the server, then by latency in
     * coarse steps, then by the longest time without a grant.
     */
    boolean isBetterThan(ServerState other, Ticket ticket, long nowMillis) {
        PlacementHints hints = ticket.request().hints();
        double otherDomainCostLeases = hints.narrowLinks()
                ? ticket.routeCost().bytes().otherDomainCostLeases()
                : RouteBytes.SMALL_MESSAGES_COST_LEASES;
        double cost = placementCost(hints, otherDomainCostLeases);
        double otherCost = other.placementCost(hints, otherDomainCostLeases);
        if (cost != otherCost) {
            return cost < otherCost;
        }
        int latencyStep = latencyStep(nowMillis);
        int otherLatencyStep = other.latencyStep(nowMillis);
        return latencyStep == otherLatencyStep ? lastLeaseId < other.lastLeaseId : latencyStep < otherLatencyStep;
    }

    /** Returns the leases plus the cost of reaching the server, by a connection and perhaps in another domain. */
    private double placementCost(PlacementHints hints, double otherDomainCostLeases) {
        double connectionCost =
                hints.connectedServers().contains(schedulableServer.name()) ? 0 : NEW_CONNECTION_COST_LEASES;
        return leases
                + connectionCost
                + (hints.failureDomain().equals(schedulableServer.failureDomain()) ? 0 : otherDomainCostLeases);
    }

    private void raiseRamp(long stepStartMillis) {
        rampSlots = (int) Math.min(Integer.MAX_VALUE, rampSlots * 2L);
        rampStepStartMillis = stepStartMillis;
        rampStepResponses = 0;
    }

    private void updateRelativeLatency(double relativeLatency, long nowMillis) {
        averageRelativeLatency += (relativeLatency - averageRelativeLatency) / LATENCY_AVERAGE_RESPONSES;
        latencyUpdatedAtMillis = nowMillis;
    }

    /** Servers within one step count as equally fast; otherwise the fastest of similar servers would get all work. */
    private int latencyStep(long nowMillis) {
        boolean isCurrent = nowMillis - latencyUpdatedAtMillis <= LATENCY_VALIDITY_MILLIS
                && nowMillis - lastGrantAtMillis < MAXIMUM_AVOIDANCE_MILLIS;
        return isCurrent ? (int) Math.max(0, (averageRelativeLatency - 1) * 2) : 0;
    }
}
