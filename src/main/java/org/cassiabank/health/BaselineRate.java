package org.cassiabank.health;

/**
 * The baseline rate of bad samples on a route, which a server without a fault of its own is expected to have.
 *
 * <p>A long-term average gives an exact rate while the service has no fault. A short-term average follows a fault of
 * the whole service; it raises the rate only beyond its own standard error, because its estimation errors would
 * otherwise cost sensitivity.
 */
final class BaselineRate {
    private static final double LONG_TERM_SAMPLES_PER_SERVER = 200;
    private static final double SHORT_TERM_SAMPLES_PER_SERVER = 8;
    // In a fault of the whole service, servers that equal each other must not collect evidence from estimation errors.
    private static final double SHORT_TERM_MARGIN_FACTOR = 1.3;

    private final LeaveOneOutRate longTermRate = new LeaveOneOutRate(LONG_TERM_SAMPLES_PER_SERVER);
    private final LeaveOneOutRate shortTermRate = new LeaveOneOutRate(SHORT_TERM_SAMPLES_PER_SERVER);

    void add(int serverIndex, boolean isBad, int serverCount, long nowMillis) {
        longTermRate.add(serverIndex, isBad, serverCount, nowMillis);
        shortTermRate.add(serverIndex, isBad, serverCount, nowMillis);
    }

    /**
     * Returns the baseline rate for one server.
     *
     * @param serverIndex the index of the server, whose own samples are left out
     * @param serviceRate the rate over all routes, the prior where the route has few samples
     * @param priorRate the prior where the service has few samples, from 0 to 1
     * @return the rate, from 0 to 1
     */
    double rateWithout(int serverIndex, BaselineRate serviceRate, double priorRate) {
        double longTerm =
                longTermRate.rateWithout(serverIndex, serviceRate.longTermRate.rateWithout(serverIndex, priorRate));
        double shortTerm = SHORT_TERM_MARGIN_FACTOR
                * shortTermRate.lowerRateWithout(
                        serverIndex, serviceRate.shortTermRate.rateWithout(serverIndex, priorRate));
        return Math.max(longTerm, shortTerm);
    }

    void removeServer(int serverIndex) {
        longTermRate.removeServer(serverIndex);
        shortTermRate.removeServer(serverIndex);
    }
}
