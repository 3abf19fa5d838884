package org.cassiabank.proxy;

import java.util.Objects;
import org.cassiabank.admission.ResponseTimes;
import org.cassiabank.declaration.Selector;

/**
 * Decides, while this daemon is being stopped, which requests it can still answer before its end. Any other one is
 * refused before it is sent to a backend server, so that its caller can go elsewhere. Instances are thread-safe.
 */
final class PlannedStop {
    /** The reason of a refusal. */
    static final String REASON = "stopping";

    /** The reply closes the connection, so the caller comes back at another daemon. */
    static final long RETRY_AFTER_MILLIS = 20;

    /** Covers the way of the reply to the caller. */
    private static final long REPLY_MILLIS = 100;

    private final ResponseTimes responseTimes;
    private final long longestMillis;
    private volatile long endMillis = Long.MAX_VALUE;

    private PlannedStop(ResponseTimes responseTimes, long longestMillis) {
        this.responseTimes = responseTimes;
        this.longestMillis = longestMillis;
    }

    /**
     * Creates the decisions for a daemon that is not being stopped yet.
     *
     * @param responseTimes estimates how long requests take
     * @param longestMillis the longest time that a stop waits for requests in flight, in milliseconds
     * @return the decisions
     */
    static PlannedStop create(ResponseTimes responseTimes, long longestMillis) {
        return new PlannedStop(Objects.requireNonNull(responseTimes, "responseTimes"), longestMillis);
    }

    /**
     * Begins the stop.
     *
     * @param nowMillis the time in milliseconds on the monotonic clock
     * @return when this daemon ends whatever is still in flight, in milliseconds on that clock
     */
    long begin(long nowMillis) {
        long end = nowMillis + longestMillis;
        endMillis = end;
        return end;
    }

    /**
     * Tells whether a request that is not at a backend server comes too late to be answered.
     *
     * @param selector the selector of the request
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param nowMillis the time in milliseconds on the monotonic clock
     * @return false if this daemon is not being stopped
     */
    boolean comesTooLate(Selector selector, long remainingMillis, long nowMillis) {
        long end = endMillis;
        return end != Long.MAX_VALUE
                && responseTimes.expectedMillis(
                                        selector.name(), selector.limits().targetLatencyMillis(), remainingMillis)
                                + REPLY_MILLIS
                        > end - nowMillis;
    }

    /** Records the time in milliseconds from a request to its response. */
    void recordResponse(Selector selector, long millis) {
        responseTimes.record(selector.name(), millis);
    }
}
