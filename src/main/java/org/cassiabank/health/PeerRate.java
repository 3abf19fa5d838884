package org.cassiabank.health;

import java.util.Arrays;

/**
 * The rate of bad samples at all servers but one, weighted so that recent samples count most.
 *
 * <p>Weights grow with every sample and with time instead of shrinking, so that adding a sample touches one server.
 */
final class PeerRate {
    private static final double MINIMUM_SERVERS = 5;
    private static final double MILLIS_PER_SAMPLE = 750;
    private static final double PRIOR_SAMPLES = 5;
    private static final double RESCALE_AT = 1e100;

    private final double samplesPerServer;
    private double[] totals = new double[8];
    private double[] bads = new double[8];
    private double total;
    private double bad;
    private double weight = 1;
    private long lastMillis = Long.MIN_VALUE;

    /**
     * Creates a rate without samples.
     *
     * @param samplesPerServer how many samples of each server count on average
     */
    PeerRate(double samplesPerServer) {
        this.samplesPerServer = samplesPerServer;
    }

    void add(int server, boolean isBad, int servers, long nowMillis) {
        if (server >= totals.length) {
            totals = Arrays.copyOf(totals, 2 * server);
            bads = Arrays.copyOf(bads, 2 * server);
        }
        if (lastMillis != Long.MIN_VALUE && nowMillis > lastMillis) {
            double age = (nowMillis - lastMillis) / (samplesPerServer * MILLIS_PER_SAMPLE);
            // The first-order term saves the cost of the exponential at high rates.
            weight *= age < 0.01 ? 1 + age : Math.exp(Math.min(50, age));
        }
        lastMillis = Math.max(lastMillis, nowMillis);
        weight *= 1 + 1 / (samplesPerServer * Math.max(MINIMUM_SERVERS, servers));
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
        double others = others(server);
        double othersBad = Math.clamp(bad - (server < bads.length ? bads[server] : 0), 0, others);
        double priorWeight = PRIOR_SAMPLES * weight;
        return (othersBad + prior * priorWeight) / (others + priorWeight);
    }

    /**
     * Returns the rate of bad samples at the other servers less its standard error.
     *
     * @param server the index of the server to leave out
     * @param prior the rate that is assumed where samples are missing
     * @return the lower estimate of the rate, from 0 to 1
     */
    double lowerWithout(int server, double prior) {
        double rate = without(server, prior);
        double samples = others(server) / weight + PRIOR_SAMPLES;
        return Math.max(0, rate - Math.sqrt(rate * (1 - rate) / samples));
    }

    void forget(int server) {
        if (server < totals.length) {
            total -= totals[server];
            bad -= bads[server];
            totals[server] = 0;
            bads[server] = 0;
        }
    }

    private double others(int server) {
        return Math.max(0, total - (server < totals.length ? totals[server] : 0));
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
