package org.cassiabank.admission;

/**
 * The share of the recent requests that a server did not refuse because of its load.
 *
 * <p>It answers the load of servers that refuse a part of what they get although they have free slots. Waits that are
 * predicted from their slots alone are too short.
 */
final class AcceptedShare {
    /** The number of attempts over which the share is averaged; it follows a change within a second at 3 slots. */
    private static final double AVERAGE_ATTEMPTS = 8;

    /** The refused share halves in this time, so that a server without requests counts with all its slots again. */
    private static final double HALF_LIFE_MILLIS = 2_000;

    private double refusedShare;
    private long updatedAtMillis;

    void record(boolean accepted, long nowMillis) {
        double share = 1 - share(nowMillis);
        refusedShare = share + ((accepted ? 0 : 1) - share) / AVERAGE_ATTEMPTS;
        updatedAtMillis = nowMillis;
    }

    /** Returns the share from 0 to 1; 1 for a server that never refused. */
    double share(long nowMillis) {
        // Called for each server and arrival; the exponential is skipped for servers that never refused.
        return refusedShare == 0
                ? 1
                : 1 - refusedShare * Math.pow(0.5, (nowMillis - updatedAtMillis) / HALF_LIFE_MILLIS);
    }
}
