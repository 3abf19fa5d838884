package org.cassiabank.admission;

import java.util.Map;
import org.cassiabank.health.ServerHealth;

/**
 * What the scheduler knows about one backend server: its leases, its cold-start ramp and its back-off.
 */
final class ServerState {
    private static final long RAMP_MILLIS = 1000;
    private static final int RAMP_ANSWERS = 5;
    /** How many short requests run between two long ones where a server has a single slot and both are queued. */
    private static final int SHORT_PER_LONG = 5;
    /** Limits the doubling of the back-off to 16 times the first one. */
    private static final int LARGEST_BACKOFF_SHIFT = 4;
    /**
     * A failed response counts like one that took this many times the usual time, so that a server that fails fast is
     * not preferred.
     */
    private static final double FAILURE_SLOWNESS = 4;

    /** A new connection holds a slot of the server for a moment and costs it as much as a small request. */
    private static final double NEW_CONNECTION_COST = 1;

    /** Bytes between failure domains are paid for, but less than a connection. */
    private static final double OTHER_FAILURE_DOMAIN_COST = 0.5;

    /** Three failures in a row count as seven of ten, so that a server that fails fast takes few requests. */
    private static final double FAILURE_ATTEMPTS = 3;
    /** A server that gets no work is tried again after about this time. */
    private static final double FAILURE_HALF_LIFE_MILLIS = 5_000;

    private static final double MOSTLY_FAILS = 0.5;
    private static final double SELDOM_FAILS = 0.3;
    /** The pace of repeatable requests at a server that mostly fails. */
    private static final long TEST_INTERVAL_MILLIS = 250;

    private static final double SLOWNESS_ANSWERS = 16;
    /** Slowness is forgotten after this time without responses, so that an avoided server is tried again. */
    private static final long SLOWNESS_MILLIS = 2000;

    /**
     * A server that waited this long for a request counts as fast. The outlier detection needs about 20 requests a
     * second to judge a server within 2 s; a suspect that is only avoided would be neither ejected nor cleared.
     */
    private static final long EVIDENCE_MILLIS = 50;

    private SchedulableServer schedulableServer;
    private boolean present = true;
    private int leases;
    private int longLeases;
    private int rampSlots;
    private int rampAnswers;
    private long rampSince;
    private double slowness = 1;
    private long slownessAt;
    private int sheds;
    private long blockedUntil = Long.MIN_VALUE;
    private int blockedSlots;
    private long lastGrant;
    private long lastGrantAt = Long.MIN_VALUE / 2;
    private int shortSinceLong;
    private long probationSince;
    private double failureShare;
    private long failureShareAt;

    ServerState(SchedulableServer schedulableServer, boolean cold, long nowMillis) {
        this.schedulableServer = schedulableServer;
        this.rampSlots = cold ? 1 : Integer.MAX_VALUE;
        this.rampSince = nowMillis;
        this.probationSince = nowMillis;
    }

    void update(SchedulableServer newServer, long nowMillis) {
        if (newServer.health() == ServerHealth.PROBATION && schedulableServer.health() != ServerHealth.PROBATION) {
            probationSince = nowMillis;
        }
        schedulableServer = newServer;
        present = true;
    }

    void remove() {
        present = false;
    }

    SchedulableServer schedulableServer() {
        return schedulableServer;
    }

    int leases() {
        return leases;
    }

    int longLeases() {
        return longLeases;
    }

    /** Tells whether the server may get new work at all. */
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
        while (rampSlots < schedulableServer.slots() && nowMillis - rampSince >= RAMP_MILLIS) {
            raiseRamp(rampSince + RAMP_MILLIS);
        }
        return rampSlots >= schedulableServer.slots();
    }

    boolean carries(Map<String, String> labels) {
        return labels.isEmpty() || schedulableServer.labels().entrySet().containsAll(labels.entrySet());
    }

    /** Returns the number of slots in use now, 0 for a server that gets no new work. */
    int usableSlots(long nowMillis) {
        if (!isActive()) {
            return 0;
        }
        int slots = isWarm(nowMillis) ? schedulableServer.slots() : rampSlots;
        if (schedulableServer.health() == ServerHealth.PROBATION) {
            slots = 1;
        }
        return nowMillis < blockedUntil ? Math.min(slots, blockedSlots) : slots;
    }

    /**
     * Tells whether long work may take a free slot.
     *
     * @param urgent whether long work is below the share that it is always given
     * @param shortWaits whether short work is queued
     */
    boolean hasRoomForLong(boolean urgent, boolean shortWaits, long nowMillis) {
        int usable = usableSlots(nowMillis);
        if (usable <= leases) {
            return false;
        }
        if (usable == 1) {
            // Without turns, urgent long work would take a single slot each time it becomes free.
            return (urgent || schedulableServer.slots() == 1) && (!shortWaits || shortSinceLong >= SHORT_PER_LONG);
        }
        return longLeases < usable - 1 && (urgent || usable - leases >= 2);
    }

    boolean isWithoutGrantSince(long millis) {
        return lastGrantAt < millis;
    }

    /** Tells whether the server has been on probation since before a time and got no request since then. */
    boolean isUntestedSince(long millis) {
        return probationSince < millis && lastGrantAt < millis;
    }

    /** Tells whether most of the last attempts at the server failed. */
    boolean mostlyFails(long nowMillis) {
        return failureShare(nowMillis) >= MOSTLY_FAILS;
    }

    /** Tells whether the server does the work that it gets. */
    boolean isSound(long nowMillis) {
        return isHealthy() && failureShare(nowMillis) < SELDOM_FAILS;
    }

    /** Tells whether a server that mostly fails may get a repeatable request. */
    boolean isDueForTest(long nowMillis) {
        return leases == 0 && lastGrantAt + TEST_INTERVAL_MILLIS <= nowMillis;
    }

    void grant(boolean longWork, long sequence, long nowMillis) {
        leases++;
        lastGrant = sequence;
        lastGrantAt = nowMillis;
        if (longWork) {
            longLeases++;
            shortSinceLong = 0;
        } else {
            shortSinceLong++;
        }
    }

    void release(boolean longWork) {
        leases--;
        longLeases -= longWork ? 1 : 0;
    }

    void changeClass(boolean toLong) {
        longLeases += toLong ? 1 : -1;
    }

    void answered(double relativeLatency, long nowMillis) {
        sheds = 0;
        learnFailure(0, nowMillis);
        learnSlowness(relativeLatency, nowMillis);
        rampAnswers++;
        if (rampAnswers >= RAMP_ANSWERS && !isWarm(nowMillis)) {
            raiseRamp(nowMillis);
        }
    }

    void failed(long nowMillis) {
        learnFailure(1, nowMillis);
        learnSlowness(FAILURE_SLOWNESS, nowMillis);
    }

    /**
     * Notes that the server shed a request, so that it is fuller than the leases tell. Until the back-off ends, it gets
     * no more requests than it has now.
     */
    void shed(long backoffMillis, long nowMillis) {
        blockedSlots = leases;
        blockedUntil = nowMillis + (backoffMillis << Math.min(sheds, LARGEST_BACKOFF_SHIFT));
        sheds++;
    }

    /**
     * Compares by leases together with what the way to the server costs the entry proxy, then by latency in coarse
     * steps, then by the longest time without a grant.
     */
    boolean isBetterThan(ServerState other, PlacementHints hints, long nowMillis) {
        double cost = cost(hints);
        double otherCost = other.cost(hints);
        if (cost != otherCost) {
            return cost < otherCost;
        }
        int step = slownessStep(nowMillis);
        int otherStep = other.slownessStep(nowMillis);
        return step == otherStep ? lastGrant < other.lastGrant : step < otherStep;
    }

    /** Returns the leases, to which the way adds up to one and a half. */
    private double cost(PlacementHints hints) {
        double way = hints.connectedServers().contains(schedulableServer.name()) ? 0 : NEW_CONNECTION_COST;
        return leases
                + way
                + (hints.failureDomain().equals(schedulableServer.failureDomain()) ? 0 : OTHER_FAILURE_DOMAIN_COST);
    }

    private void raiseRamp(long sinceMillis) {
        rampSlots = (int) Math.min(Integer.MAX_VALUE, rampSlots * 2L);
        rampSince = sinceMillis;
        rampAnswers = 0;
    }

    private double failureShare(long nowMillis) {
        // Asked for each server and grant; most servers never failed.
        return failureShare == 0
                ? 0
                : failureShare * Math.pow(0.5, (nowMillis - failureShareAt) / FAILURE_HALF_LIFE_MILLIS);
    }

    private void learnFailure(double failed, long nowMillis) {
        double share = failureShare(nowMillis);
        failureShare = share + (failed - share) / FAILURE_ATTEMPTS;
        failureShareAt = nowMillis;
    }

    private void learnSlowness(double relativeLatency, long nowMillis) {
        slowness += (relativeLatency - slowness) / SLOWNESS_ANSWERS;
        slownessAt = nowMillis;
    }

    /** Servers within one step count as equally fast; otherwise the best of equal servers would get all work. */
    private int slownessStep(long nowMillis) {
        boolean counts = nowMillis - slownessAt <= SLOWNESS_MILLIS && nowMillis - lastGrantAt < EVIDENCE_MILLIS;
        return counts ? (int) Math.max(0, (slowness - 1) * 2) : 0;
    }
}
