package org.cassiabank.load;

import java.util.Objects;

/**
 * A kind of request that the load tool sends.
 *
 * @param name the name in reports
 * @param method the HTTP method
 * @param path the path, by which selectors match the request
 * @param medianWorkMillis the median service time in milliseconds
 * @param workLogDeviation the standard deviation of the natural logarithm of the service time; 0 for a constant time
 * @param unrepeatable whether a request must run at most once and carries an {@code Idempotency-Key}
 */
public record RequestKind(
        String name,
        String method,
        String path,
        double medianWorkMillis,
        double workLogDeviation,
        boolean unrepeatable) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null
     * @throws IllegalArgumentException if the median or the deviation of the service time is negative
     */
    public RequestKind {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        if (medianWorkMillis < 0 || workLogDeviation < 0) {
            throw new IllegalArgumentException("the median and the deviation of the service time must not be negative");
        }
    }

    /**
     * Creates the kind {@code short}, a repeatable read of {@code /menu}.
     *
     * @param medianWorkMillis the median service time in milliseconds
     * @return the kind
     */
    public static RequestKind shortRead(double medianWorkMillis) {
        return new RequestKind("short", "GET", "/menu", medianWorkMillis, 0.2, false);
    }

    /**
     * Creates the kind {@code long}, a repeatable read of {@code /ledger}.
     *
     * @param medianWorkMillis the median service time in milliseconds
     * @return the kind
     */
    public static RequestKind longRead(double medianWorkMillis) {
        return new RequestKind("long", "GET", "/ledger", medianWorkMillis, 0.2, false);
    }

    /**
     * Creates the kind {@code order}, an unrepeatable request to {@code /order}, which must run at most once.
     *
     * @param medianWorkMillis the median service time in milliseconds
     * @return the kind
     */
    public static RequestKind order(double medianWorkMillis) {
        return new RequestKind("order", "POST", "/order", medianWorkMillis, 0.2, true);
    }
}
