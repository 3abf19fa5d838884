package org.cassiabank.load;

import java.util.Objects;

/**
 * A kind of request of the load tool.
 *
 * @param name the name in reports
 * @param method the HTTP method
 * @param path the path, on which selectors decide
 * @param medianWorkMillis the median service time in milliseconds
 * @param workLogDeviation the standard deviation of the logarithm of the service time
 * @param unrepeatable whether each request gets an {@code Idempotency-Key} of its own
 */
public record RequestKind(
        String name,
        String method,
        String path,
        double medianWorkMillis,
        double workLogDeviation,
        boolean unrepeatable) {

    /**
     * Checks the values.
     */
    public RequestKind {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        if (medianWorkMillis < 0 || workLogDeviation < 0) {
            throw new IllegalArgumentException("service times must not be negative");
        }
    }

    /**
     * Creates a short read, like a menu.
     *
     * @param medianWorkMillis the median service time in milliseconds
     * @return the kind
     */
    public static RequestKind shortRead(double medianWorkMillis) {
        return new RequestKind("short", "GET", "/menu", medianWorkMillis, 0.2, false);
    }

    /**
     * Creates a long read, like a ledger.
     *
     * @param medianWorkMillis the median service time in milliseconds
     * @return the kind
     */
    public static RequestKind longRead(double medianWorkMillis) {
        return new RequestKind("long", "GET", "/ledger", medianWorkMillis, 0.2, false);
    }

    /**
     * Creates an order, which must run at most once.
     *
     * @param medianWorkMillis the median service time in milliseconds
     * @return the kind
     */
    public static RequestKind order(double medianWorkMillis) {
        return new RequestKind("order", "POST", "/order", medianWorkMillis, 0.2, true);
    }
}
