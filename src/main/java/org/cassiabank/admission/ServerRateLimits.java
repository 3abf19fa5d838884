package org.cassiabank.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The limits of requests a second that backend servers name in their responses.
 *
 * <p>Responses arrive out of order. A limit ends only with a response without one to an attempt that began after the
 * limit had been named. Instances are not thread-safe.
 */
public final class ServerRateLimits {
    private final Map<String, Observation> observationsByServer = new HashMap<>();

    private ServerRateLimits() {}

    /**
     * Creates limits of no server.
     *
     * @return the limits
     */
    public static ServerRateLimits create() {
        return new ServerRateLimits();
    }

    /**
     * Records what an attempt showed about the limit of its server.
     *
     * @param server the name of the server
     * @param notice what the response said
     * @param attemptStartMillis the time at which the attempt began, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return true if the limit of the server has changed
     * @throws NullPointerException if an argument is null
     */
    public boolean record(String server, RateLimitNotice notice, long attemptStartMillis, long nowMillis) {
        Objects.requireNonNull(server, "server");
        OptionalDouble former = limit(server);
        switch (notice) {
            case RateLimitNotice.Limited limited ->
                observationsByServer.put(
                        server, new Observation(OptionalDouble.of(limited.requestsPerSecond()), nowMillis));
            case RateLimitNotice.Unlimited unlimited -> {
                Observation known = observationsByServer.get(server);
                if (known != null && attemptStartMillis >= known.observedMillis()) {
                    observationsByServer.put(server, new Observation(OptionalDouble.empty(), nowMillis));
                }
            }
            case RateLimitNotice.Unknown unknown -> {
                // An attempt without a response says nothing about the limit.
            }
        }
        return !former.equals(limit(server));
    }

    /**
     * Adds a limit that another proxy observed, unless something newer is known about the server.
     *
     * @param limit the limit
     * @param nowMillis the current time in milliseconds
     * @return true if the limit of the server has changed
     */
    public boolean merge(ServerRateLimit limit, long nowMillis) {
        long observedMillis = nowMillis - limit.ageMillis();
        Observation known = observationsByServer.get(limit.server());
        if (known != null && known.observedMillis() >= observedMillis) {
            return false;
        }
        OptionalDouble former = limit(limit.server());
        observationsByServer.put(
                limit.server(), new Observation(OptionalDouble.of(limit.requestsPerSecond()), observedMillis));
        return !former.equals(limit(limit.server()));
    }

    /**
     * Returns the limit of a server.
     *
     * @param server the name of the server
     * @return the requests a second that the server accepts, empty if it names no limit
     */
    public OptionalDouble limit(String server) {
        Observation known = observationsByServer.get(server);
        return known == null ? OptionalDouble.empty() : known.requestsPerSecond();
    }

    /**
     * Returns the servers that name a limit.
     *
     * @param nowMillis the current time in milliseconds
     * @return their limits with the time since they were last named
     */
    public Collection<ServerRateLimit> all(long nowMillis) {
        return observationsByServer.entrySet().stream()
                .filter(entry -> entry.getValue().requestsPerSecond().isPresent())
                .map(entry -> new ServerRateLimit(
                        entry.getKey(),
                        entry.getValue().requestsPerSecond().getAsDouble(),
                        Math.max(0, nowMillis - entry.getValue().observedMillis())))
                .toList();
    }

    /**
     * Forgets servers that restarted, whose new processes have named no limit.
     *
     * @param servers the names of the servers
     */
    public void forget(Set<String> servers) {
        observationsByServer.keySet().removeAll(servers);
    }

    /**
     * Forgets all servers but those that are still listed.
     *
     * @param servers the names of the listed servers
     */
    public void retain(Set<String> servers) {
        observationsByServer.keySet().retainAll(servers);
    }

    /** The limit of a server, empty if it ended, and the time at which that was observed. */
    private record Observation(OptionalDouble requestsPerSecond, long observedMillis) {}
}
