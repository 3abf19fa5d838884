package org.cassiabank.health;

import java.util.Arrays;

/**
 * The rate of bad samples at all servers but one, weighted so that recent samples count most.
 *
 * <p>Weights grow with every sample and with time instead of shrinking, so that adding a sample touches one server.
 */
final class PeerRate {
    private static final double SAMPLES_PER_SERVER = 10;
    private static final double MINIMUM_SAMPLES = 60;
    private static final double TIME_CONSTANT_MILLIS = 15_000;
    private static final double PRIOR_SAMPLES = 5;
    private static final double RESCALE_AT = 1e100;

    private double[] totals = new double[8];
    private double[] bads = new double[8];
    private double total;
    private double bad;
    private double weight = 1;
    private long lastMillis = Long.MIN_VALUE;

    void add(int server, boolean isBad, int servers, long nowMillis) {
        if (server >= totals.length) {
            totals = Arrays.copyOf(totals, 2 * server);
            bads = Arrays.copyOf(bads, 2 * server);
        }
        if (lastMillis != Long.MIN_VALUE && nowMillis > lastMillis) {
            weight *= Math.exp(Math.min(50, (nowMillis - lastMillis) / TIME_CONSTANT_MILLIS));
        }
        lastMillis = Math.max(lastMillis, nowMillis);
        weight *= 1 + 1 / Math.max(MINIMUM_SAMPLES, SAMPLES_PER_SERVER * servers);
        totals[server] += weight;
        total += weight;
        if (isBad) {
            bads[server] += weight;
            bad += weight;
        }
        if (weight > RESCALE_AT) {
            rescale();
        }
    }

    /**
     * Returns the rate of bad samples at the other servers.
     *
     * @param server the index of the server to leave out
     * @param prior the rate that is assumed where samples are missing
     * @return the rate, from 0 to 1
     */
    double without(int server, double prior) {
        boolean known = server < totals.length;
        double others = Math.max(0, total - (known ? totals[server] : 0));
        double othersBad = Math.clamp(bad - (known ? bads[server] : 0), 0, others);
        double priorWeight = PRIOR_SAMPLES * weight;
        return (othersBad + prior * priorWeight) / (others + priorWeight);
    }

    void forget(int server) {
        if (server < totals.length) {
            total -= totals[server];
            bad -= bads[server];
            totals[server] = 0;
            bads[server] = 0;
        }
    }

    private void rescale() {
        total = 0;
        bad = 0;
        for (int index = 0; index < totals.length; index++) {
            totals[index] /= weight;
            bads[index] /= weight;
            total += totals[index];
            bad += bads[index];
        }
        weight = 1;
    }
}
