package org.cassiabank.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Remembers which backend servers announced in a response that they are leaving.
 *
 * <p>An announcement holds for one start of a server and is never taken back: neither by an instance list that reports
 * the server as live, nor by a response without the announcement, which may be older. Only another start of the server
 * gets requests again. Instances of this class are not thread-safe. Times come from a monotonic clock.
 */
public final class LeavingServers {
    /**
     * How long the announcement of a start that is not listed is kept. An entry that lapsed, or that comes back with an
     * older copy of the store, is back long before.
     */
    static final long UNLISTED_MEMORY_MILLIS = 120_000;

    /** How long an announcement counts if the platform does not tell the starts of a server apart. */
    static final long UNKNOWN_START_VALIDITY_MILLIS = 60_000;

    private final Map<ServerStart, Long> lastKnownMillis = new HashMap<>();

    private LeavingServers() {}

    /**
     * Creates a memory without announcements.
     *
     * @return the memory
     */
    public static LeavingServers create() {
        return new LeavingServers();
    }

    /**
     * Records an announcement.
     *
     * @param start the start of the server that made it
     * @param nowMillis the current time in milliseconds
     * @return true if this start was not known to be leaving
     * @throws NullPointerException if the start is null
     */
    public boolean record(ServerStart start, long nowMillis) {
        Objects.requireNonNull(start, "start");
        boolean known = isLeaving(start, nowMillis);
        lastKnownMillis.put(start, nowMillis);
        return !known;
    }

    /**
     * Tells whether a start of a server is leaving.
     *
     * @param start the start
     * @param nowMillis the current time in milliseconds
     * @return true if it announced that; for an unknown incarnation only for {@value #UNKNOWN_START_VALIDITY_MILLIS}
     *     milliseconds after its last announcement
     */
    public boolean isLeaving(ServerStart start, long nowMillis) {
        Long knownMillis = lastKnownMillis.get(start);
        return knownMillis != null
                && (start.incarnation() != 0 || nowMillis - knownMillis <= UNKNOWN_START_VALIDITY_MILLIS);
    }

    /**
     * Forgets the starts that have not been listed for {@value #UNLISTED_MEMORY_MILLIS} milliseconds.
     *
     * @param isListed tells whether the instance list holds a start
     * @param nowMillis the current time in milliseconds
     */
    public void forgetFormer(Predicate<ServerStart> isListed, long nowMillis) {
        lastKnownMillis.replaceAll((start, knownMillis) ->
                start.incarnation() != 0 && isListed.test(start) ? Long.valueOf(nowMillis) : knownMillis);
        lastKnownMillis.values().removeIf(knownMillis -> nowMillis - knownMillis > UNLISTED_MEMORY_MILLIS);
    }

    /**
     * Returns the starts with an announcement.
     *
     * @return a copy, without a particular order
     */
    public Set<ServerStart> all() {
        return Set.copyOf(lastKnownMillis.keySet());
    }
}
