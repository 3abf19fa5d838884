package org.cassiabank.admission;

/**
 * Divides the limit of a server among entry proxies that reach no owner of its shard and so cannot count together.
 *
 * <p>The proxies take turns of the time in which the server accepts one request. A turn that is not used is lost, so
 * that proxies that were idle do not send a burst together.
 */
public final class RateLimitShare {
    private static final double MILLIS_PER_SECOND = 1_000;

    private RateLimitShare() {}

    /**
     * Tells whether a proxy may send a request to a limited server now.
     *
     * @param requestsPerSecond the limit of the server, at least 0
     * @param position the position of the proxy among all proxies, from 0
     * @param proxyCount the number of proxies, at least 1
     * @param nowMillis the current time in milliseconds
     * @return true during the turn of the proxy
     * @throws IllegalArgumentException if the position is not below the number of proxies
     */
    public static boolean isTurn(double requestsPerSecond, int position, int proxyCount, long nowMillis) {
        if (position < 0 || position >= proxyCount) {
            throw new IllegalArgumentException("position " + position + " of " + proxyCount + " proxies");
        }
        return Math.floorMod((long) Math.floor(nowMillis / MILLIS_PER_SECOND * requestsPerSecond), proxyCount)
                == position;
    }
}
