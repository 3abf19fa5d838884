package org.cassiabank.proxy;

/**
 * A time in which a server of the simulation fails a share of its requests or is slow.
 *
 * @param server the name of the server
 * @param fromMillis the start in virtual milliseconds
 * @param untilMillis the end in virtual milliseconds
 * @param share the share of the requests that fail
 * @param kind what happens to them
 * @param slowdown the factor by which the others take longer
 * @param soundAfterMillis the time after the end from which on the users count the server as sound, in milliseconds
 */
record SimulatedFault(
        String server,
        double fromMillis,
        double untilMillis,
        double share,
        Kind kind,
        double slowdown,
        double soundAfterMillis) {
    private static final double SOUND_AFTER_OWN_FAULT_MILLIS = 2_000;
    private static final double SOUND_AFTER_DISRUPTION_MILLIS = 6_000;

    /** Creates a time in which a server fails requests by itself. */
    static SimulatedFault ofServer(String server, double fromMillis, double untilMillis, double share, Kind kind) {
        return new SimulatedFault(server, fromMillis, untilMillis, share, kind, 1, SOUND_AFTER_OWN_FAULT_MILLIS);
    }

    /** Creates a time in which a server is slowed down from outside. */
    static SimulatedFault slowness(String server, double fromMillis, double untilMillis, double slowdown) {
        return new SimulatedFault(
                server, fromMillis, untilMillis, 0, Kind.BREAKS, slowdown, SOUND_AFTER_DISRUPTION_MILLIS);
    }

    /** What a server does with the requests that it fails. */
    enum Kind {
        /** Breaks the connection soon after it has read the request. */
        BREAKS,
        /** Runs the request and breaks the connection instead of responding. */
        LOSES,
        /** Runs the request after the disruption. */
        HANGS,
        /** Never responds. */
        SILENT
    }
}
