package org.cassiabank.quota;

/**
 * The limit of a customer over all daemons together.
 *
 * @param requestsPerSecond the requests a second on average, positive
 * @param burst the requests beyond that at once, not negative
 */
public record CustomerLimit(double requestsPerSecond, long burst) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public CustomerLimit {
        if (!(requestsPerSecond > 0) || Double.isInfinite(requestsPerSecond) || burst < 0) {
            throw new IllegalArgumentException("limit is out of range: " + requestsPerSecond + ", " + burst);
        }
    }
}
