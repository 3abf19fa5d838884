package org.cassiabank.load;

import java.util.List;

/**
 * A part of a schedule with a constant rate and mix.
 *
 * @param name the name in reports
 * @param durationMillis the duration in milliseconds
 * @param requestsPerSecond the mean number of requests per second
 * @param mix the kinds with their shares
 */
public record Phase(String name, long durationMillis, double requestsPerSecond, List<Share> mix) {

    /**
     * Checks the values and copies the mix.
     */
    public Phase {
        mix = List.copyOf(mix);
        if (durationMillis < 0 || requestsPerSecond < 0 || mix.isEmpty()) {
            throw new IllegalArgumentException("a phase needs a duration, a rate and a mix");
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
     * The share of a kind in a mix.
     *
     * @param kind the kind
     * @param weight the weight relative to the sum of all weights
     */
    public record Share(RequestKind kind, double weight) {}
}
