package org.cassiabank.admission;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Estimates from the recent responses of an entry proxy how long a further request of a route may take, so that a proxy
 * that is about to stop takes only what it can answer. Instances are thread-safe.
 */
public final class ResponseTimes {
    private static final int REMEMBERED_RESPONSES = 32;

    /** With fewer responses than this, a slow one among many has probably not been seen yet. */
    private static final int MINIMUM_RESPONSES = 8;

    private static final int MAXIMUM_ROUTES = 1_024;

    private final Map<String, RecentTimes> timesByRoute = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RecentTimes> eldest) {
            return size() > MAXIMUM_ROUTES;
        }
    };

    private ResponseTimes() {}

    /**
     * Creates estimates without responses.
     *
     * @return the estimates
     */
    public static ResponseTimes create() {
        return new ResponseTimes();
    }

    /**
     * Records a response that was delivered to its caller.
     *
     * @param route the name of the selector of the request
     * @param millis the time from the request to the response in milliseconds, not negative
     */
    public synchronized void record(String route, long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("time of a response is negative: " + millis);
        }
        timesByRoute
                .computeIfAbsent(Objects.requireNonNull(route, "route"), name -> new RecentTimes())
                .add(millis);
    }

    /**
     * Returns the longest time that a request is likely to take.
     *
     * @param route the name of the selector of the request
     * @param targetMillis the time within which the operators want a response, in milliseconds, 0 if they name none
     * @param deadlineMillis the time that the request has in all, in milliseconds
     * @return the longest of the recent responses in milliseconds; while there are few, at least the target, or the
     *     deadline if there is no target; the deadline at most
     */
    public synchronized long expectedMillis(String route, long targetMillis, long deadlineMillis) {
        RecentTimes times = timesByRoute.get(Objects.requireNonNull(route, "route"));
        long longestMillis = times == null ? 0 : times.longestMillis();
        if (times == null || times.count < MINIMUM_RESPONSES) {
            longestMillis = Math.max(longestMillis, targetMillis > 0 ? targetMillis : deadlineMillis);
        }
        return Math.min(deadlineMillis, longestMillis);
    }

    /** The times of the latest responses of one route, in a ring. */
    private static final class RecentTimes {
        private final long[] millis = new long[REMEMBERED_RESPONSES];
        private long count;

        private void add(long newMillis) {
            millis[(int) (count % REMEMBERED_RESPONSES)] = newMillis;
            count++;
        }

        private long longestMillis() {
            return Arrays.stream(millis).max().orElse(0);
        }
    }
}
