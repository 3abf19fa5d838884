package org.cassiabank.health;

import java.util.Arrays;

/**
 * The rate of bad samples at all servers except one, with exponentially decaying weights of the samples.
 *
 * <p>The weight of new samples grows with every sample and with time, instead of the weights of old ones shrinking, so
 * that adding a sample updates the sums of one server only.
 */
final class LeaveOneOutRate {
    private static final double MINIMUM_SERVER_COUNT = 5;
    private static final double SAMPLE_INTERVAL_MILLIS = 750;
    private static final double PRIOR_SAMPLE_COUNT = 5;
    // Prevents an overflow of the growing weights.
    private static final double RESCALE_WEIGHT = 1e100;

    private final double samplesPerServer;
    private double[] sampleWeights = new double[8];
    private double[] badWeights = new double[8];
    private double totalWeight;
    private double totalBadWeight;
    private double currentWeight = 1;
    private long lastSampleMillis = Long.MIN_VALUE;

    /**
     * Creates a rate without samples.
     *
     * @param samplesPerServer the number of samples of each server that the rate averages over
     */
    LeaveOneOutRate(double samplesPerServer) {
        this.samplesPerServer = samplesPerServer;
    }

    void add(int serverIndex, boolean isBad, int serverCount, long nowMillis) {
        if (serverIndex >= sampleWeights.length) {
            sampleWeights = Arrays.copyOf(sampleWeights, 2 * serverIndex);
            badWeights = Arrays.copyOf(badWeights, 2 * serverIndex);
        }
        if (lastSampleMillis != Long.MIN_VALUE && nowMillis > lastSampleMillis) {
            double relativeAge = (nowMillis - lastSampleMillis) / (samplesPerServer * SAMPLE_INTERVAL_MILLIS);
            // The first-order approximation avoids the cost of the exponential at high request rates.
            currentWeight *= relativeAge < 0.01 ? 1 + relativeAge : Math.exp(Math.min(50, relativeAge));
        }
        lastSampleMillis = Math.max(lastSampleMillis, nowMillis);
        currentWeight *= 1 + 1 / (samplesPerServer * Math.max(MINIMUM_SERVER_COUNT, serverCount));
        sampleWeights[serverIndex] += currentWeight;
        totalWeight += currentWeight;
        if (isBad) {
            badWeights[serverIndex] += currentWeight;
            totalBadWeight += currentWeight;
        }
        if (currentWeight > RESCALE_WEIGHT) {
            rescale();
        }
    }

    /**
     * Returns the rate of bad samples at the other servers.
     *
     * @param serverIndex the index of the server to leave out
     * @param priorRate the rate that is assumed where samples are missing
     * @return the rate, from 0 to 1
     */
    double rateWithout(int serverIndex, double priorRate) {
        double othersWeight = weightWithout(serverIndex);
        double othersBadWeight = Math.clamp(
                totalBadWeight - (serverIndex < badWeights.length ? badWeights[serverIndex] : 0), 0, othersWeight);
        double priorWeight = PRIOR_SAMPLE_COUNT * currentWeight;
        return (othersBadWeight + priorRate * priorWeight) / (othersWeight + priorWeight);
    }

    /**
     * Returns the rate of bad samples at the other servers less its standard error.
     *
     * @param serverIndex the index of the server to leave out
     * @param priorRate the rate that is assumed where samples are missing
     * @return the rate less its standard error, from 0 to 1
     */
    double lowerRateWithout(int serverIndex, double priorRate) {
        double rate = rateWithout(serverIndex, priorRate);
        double sampleCount = weightWithout(serverIndex) / currentWeight + PRIOR_SAMPLE_COUNT;
        return Math.max(0, rate - Math.sqrt(rate * (1 - rate) / sampleCount));
    }

    void removeServer(int serverIndex) {
        if (serverIndex < sampleWeights.length) {
            totalWeight -= sampleWeights[serverIndex];
            totalBadWeight -= badWeights[serverIndex];
            sampleWeights[serverIndex] = 0;
            badWeights[serverIndex] = 0;
        }
    }

    private double weightWithout(int serverIndex) {
        return Math.max(0, totalWeight - (serverIndex < sampleWeights.length ? sampleWeights[serverIndex] : 0));
    }

    private void rescale() {
        totalWeight = 0;
        totalBadWeight = 0;
        for (int index = 0; index < sampleWeights.length; index++) {
            sampleWeights[index] /= currentWeight;
            badWeights[index] /= currentWeight;
            totalWeight += sampleWeights[index];
            totalBadWeight += badWeights[index];
        }
        currentWeight = 1;
    }
}
