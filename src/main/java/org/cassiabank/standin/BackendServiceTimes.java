package org.cassiabank.standin;

import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Draws service times from a seeded lognormal distribution and multiplies them while the server is cold,
 * that is for some requests and some time after its start. Thread-safe.
 */
final class BackendServiceTimes {
    private final BackendSettings settings;
    private final Random random;
    private final AtomicLong drawnTimes = new AtomicLong();

    private BackendServiceTimes(BackendSettings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
    }

    static BackendServiceTimes of(BackendSettings settings) {
        return new BackendServiceTimes(settings);
    }

    /**
     * Returns the next service time in nanoseconds: {@code requestedMillis}, or a drawn time if that is below 0,
     * times the cold factor while the server is cold.
     */
    long nextServiceNanos(double requestedMillis, long uptimeMillis) {
        double serviceMillis = requestedMillis >= 0
                ? requestedMillis
                : settings.medianWorkMillis() * Math.exp(settings.logWorkDeviation() * random.nextGaussian());
        boolean isCold = drawnTimes.getAndIncrement() < settings.coldRequests() || uptimeMillis < settings.coldMillis();
        return (long) (serviceMillis * (isCold ? settings.coldFactor() : 1) * 1_000_000);
    }
}
