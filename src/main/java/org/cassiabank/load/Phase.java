package org.cassiabank.load;

import java.util.List;

/**
 * A part of a schedule with a constant arrival rate and a constant mix of request kinds.
 *
 * @param name the name in reports
 * @param durationMillis the duration in milliseconds
 * @param requestsPerSecond the mean number of requests per second
 * @param mix the request kinds with their weights
 */
public record Phase(String name, long durationMillis, double requestsPerSecond, List<Share> mix) {

    /**
     * Copies the mix and checks the values.
     *
     * @throws IllegalArgumentException if the duration or the rate is negative or the mix is empty
     */
    public Phase {
        mix = List.copyOf(mix);
        if (durationMillis < 0 || requestsPerSecond < 0 || mix.isEmpty()) {
            throw new IllegalArgumentException("a phase needs a mix, and its duration and rate must not be negative");
        }
    }

    /**
     * Creates a phase with requests of one kind.
     *
     * @param name the name in reports
     * @param durationMillis the duration in milliseconds
     * @param requestsPerSecond the mean number of requests per second
     * @param kind the kind
     * @return the phase
     */
    public static Phase of(String name, long durationMillis, double requestsPerSecond, RequestKind kind) {
        return new Phase(name, durationMillis, requestsPerSecond, List.of(new Share(kind, 1)));
    }

    /**
     * The share of a request kind in a mix.
     *
     * @param kind the request kind
     * @param weight the weight; the share is its quotient with the sum of all weights
     */
    public record Share(RequestKind kind, double weight) {}
}
