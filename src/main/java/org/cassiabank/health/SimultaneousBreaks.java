package org.cassiabank.health;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Recognizes connections to several servers of a shard that break at one moment.
 *
 * <p>A connection has two ends and a path between them. When connections to many servers break together, or several of
 * one entry proxy, their common cause is the path or the entry proxy, and the breaks say next to nothing about the
 * servers. All of them must have been in flight at one moment: servers that break each request on its arrival do not
 * look like that, however many they are. Servers of a single failure domain may well fail together, so two domains are
 * required where there are several. Instances are not thread-safe. All times must come from one monotonic clock.
 */
final class SimultaneousBreaks {
    /** The reports of entry proxies about one moment arrive within this time. */
    static final long WINDOW_MILLIS = 150;

    /** Entry proxies that are short of processor time report a moment that is known already this much later. */
    static final long LATE_REPORT_MILLIS = 500;

    private static final int MINIMUM_SERVERS = 3;
    private static final double MINIMUM_SERVER_SHARE = 0.25;
    private static final int MINIMUM_SERVERS_OF_ENTRY_PROXY = 2;
    private static final int MINIMUM_DOMAINS = 2;

    /** Limits the memory and the time for one break in a failure of all connections. */
    private static final int MAXIMUM_BREAKS = 256;

    private final Deque<Break> breaks = new ArrayDeque<>();
    private long latestEventMillis = Long.MIN_VALUE / 2;

    /**
     * Records a broken connection.
     *
     * @param attempt the attempt that ended with it
     * @param failureDomain the failure domain of the server
     * @param serverCount the number of servers of the shard that are in service
     * @param domainCount the number of their failure domains
     * @param nowMillis the time in milliseconds at which the attempt ended
     * @return the servers whose breaks of this moment, all of them, have another cause than the server
     */
    Set<String> record(
            CompletedAttempt attempt, String failureDomain, int serverCount, int domainCount, long nowMillis) {
        while (!breaks.isEmpty()
                && (nowMillis - breaks.getFirst().endMillis > LATE_REPORT_MILLIS || breaks.size() >= MAXIMUM_BREAKS)) {
            breaks.removeFirst();
        }
        Break latest = new Break(attempt, failureDomain, nowMillis);
        breaks.addLast(latest);
        int requiredDomains = Math.min(MINIMUM_DOMAINS, Math.max(1, domainCount));
        if (nowMillis - latestEventMillis <= LATE_REPORT_MILLIS && latest.isInFlightAt(latestEventMillis)) {
            latest.excused = true;
        } else {
            int requiredServers = Math.max(MINIMUM_SERVERS, (int) Math.ceil(MINIMUM_SERVER_SHARE * serverCount));
            excuseMoment(known -> true, requiredServers, requiredDomains, nowMillis)
                    .ifPresent(moment -> latestEventMillis = moment);
        }
        if (!latest.excused && !latest.entryProxy.isEmpty()) {
            excuseMoment(
                    known -> known.entryProxy.equals(latest.entryProxy),
                    MINIMUM_SERVERS_OF_ENTRY_PROXY,
                    requiredDomains,
                    nowMillis);
        }
        return latest.excused ? serversExcusedFor(latest) : Set.of();
    }

    /** Excuses the breaks of a moment at which enough of the selected attempts were in flight; returns the moment. */
    private OptionalLong excuseMoment(
            Predicate<Break> selection, int requiredServers, int requiredDomains, long nowMillis) {
        List<Break> selected = breaks.stream()
                .filter(selection)
                .filter(known -> nowMillis - known.endMillis <= WINDOW_MILLIS)
                .toList();
        for (Break candidate : selected) {
            List<Break> together = selected.stream()
                    .filter(known -> known.isInFlightAt(candidate.endMillis))
                    .toList();
            Set<String> servers = new HashSet<>();
            Set<String> domains = new HashSet<>();
            together.forEach(known -> {
                servers.add(known.server);
                domains.add(known.failureDomain);
            });
            if (servers.size() >= requiredServers && domains.size() >= requiredDomains) {
                together.forEach(known -> known.excused = true);
                return OptionalLong.of(candidate.endMillis);
            }
        }
        return OptionalLong.empty();
    }

    /** Returns the servers that broke together with an excused break and of which no other break counts. */
    private Set<String> serversExcusedFor(Break latest) {
        Set<String> blamed = breaks.stream()
                .filter(known -> !known.excused)
                .map(known -> known.server)
                .collect(Collectors.toSet());
        return breaks.stream()
                .filter(known -> known.excused && latest.endMillis - known.endMillis <= WINDOW_MILLIS)
                .map(known -> known.server)
                .filter(server -> !blamed.contains(server))
                .collect(Collectors.toSet());
    }

    /** A connection that broke, with the time in which its attempt was in flight. */
    private static final class Break {
        private final String server;
        private final String failureDomain;
        private final String entryProxy;
        private final long startMillis;
        private final long endMillis;
        private boolean excused;

        private Break(CompletedAttempt attempt, String failureDomain, long endMillis) {
            this.server = attempt.server();
            this.failureDomain = failureDomain;
            this.entryProxy = attempt.entryProxy();
            this.startMillis = endMillis - attempt.latencyMicros() / 1_000;
            this.endMillis = endMillis;
        }

        private boolean isInFlightAt(long millis) {
            return startMillis < millis && millis <= endMillis;
        }
    }
}
