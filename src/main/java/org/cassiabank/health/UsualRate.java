package org.cassiabank.health;

/**
 * The usual rate of bad samples on a route, as a server that equals the others would have it.
 *
 * <p>A long memory gives an exact rate in quiet times. A short memory follows a fault of the whole service; it raises
 * the rate only beyond its own standard error, because its errors would cost sensitivity in quiet times.
 */
final class UsualRate {
    private static final double LONG_SAMPLES = 200;
    private static final double SHORT_SAMPLES = 8;
    // In a fault of the whole service, servers that equal each other must not collect evidence from estimation errors.
    private static final double MARGIN = 1.3;

    private final PeerRate longRate = new PeerRate(LONG_SAMPLES);
    private final PeerRate shortRate = new PeerRate(SHORT_SAMPLES);

    void add(int server, boolean isBad, int servers, long nowMillis) {
        longRate.add(server, isBad, servers, nowMillis);
        shortRate.add(server, isBad, servers, nowMillis);
    }

    /**
     * Returns the usual rate for one server.
     *
     * @param server the index of the server, whose own samples are left out
     * @param service the rate over all routes, which is assumed where the route has few samples
     * @param prior the rate that is assumed where the service has few samples
     * @return the rate, from 0 to 1
     */
    double without(int server, UsualRate service, double prior) {
        double exact = longRate.without(server, service.longRate.without(server, prior));
        double recent = MARGIN * shortRate.lowerWithout(server, service.shortRate.without(server, prior));
        return Math.max(exact, recent);
    }

    void forget(int server) {
        longRate.forget(server);
        shortRate.forget(server);
    }
}
