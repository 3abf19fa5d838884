package org.cassiabank.health;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Tells from the connections that a proxy opens whether it reaches any backend server at all.
 *
 * <p>One server that cannot be reached says little about the proxy. If connections to several servers in more than one
 * failure domain fail and none opens in the meantime, the path of the proxy is interrupted. Answers on connections that
 * were open before do not count, because such connections may live on while new ones fail. Instances are not
 * thread-safe. All times must come from one monotonic clock.
 */
public final class ServerReachability {
    /** Two servers often fail together; three that fail within seconds while no connection opens are rare. */
    public static final int REQUIRED_SERVERS = 3;

    /** All servers of one failure domain may be out of reach while the others are not. */
    public static final int REQUIRED_DOMAINS = 2;

    private static final int MINIMUM_SERVERS = 2;
    private static final long FAILURE_VALIDITY_MILLIS = 4_000;

    private final Map<String, Failure> failuresByServer = new HashMap<>();
    private boolean cutOff;

    private ServerReachability() {}

    /**
     * Creates a tracker by which servers can be reached.
     *
     * @return the tracker
     */
    public static ServerReachability create() {
        return new ServerReachability();
    }

    /**
     * Records that a connection to a server could not be opened.
     *
     * @param server the name of the server
     * @param failureDomain the failure domain of the server
     * @param serverCount the number of servers that the proxy may use; it counts up to {@link #REQUIRED_SERVERS}
     * @param domainCount the number of their failure domains; it counts up to {@link #REQUIRED_DOMAINS}
     * @param nowMillis the time in milliseconds
     * @return true if the proxy counts as cut off from now on, and did not before
     */
    public boolean recordUnreachable(
            String server, String failureDomain, int serverCount, int domainCount, long nowMillis) {
        failuresByServer.put(
                Objects.requireNonNull(server, "server"),
                new Failure(Objects.requireNonNull(failureDomain, "failureDomain"), nowMillis));
        failuresByServer.values().removeIf(failure -> nowMillis - failure.atMillis() > FAILURE_VALIDITY_MILLIS);
        boolean wasCutOff = cutOff;
        cutOff = cutOff || hasEnoughEvidence(serverCount, domainCount);
        return cutOff && !wasCutOff;
    }

    /**
     * Records that a connection to some server was opened, which refutes all earlier evidence.
     *
     * @return true if the proxy counted as cut off until now
     */
    public boolean recordReached() {
        boolean wasCutOff = cutOff;
        failuresByServer.clear();
        cutOff = false;
        return wasCutOff;
    }

    /**
     * Tells whether the proxy reaches no backend server.
     *
     * @return true from the last required failure until a connection opens
     */
    public boolean isCutOff() {
        return cutOff;
    }

    /**
     * Returns the servers whose connections failed lately, while no other connection opened.
     *
     * @return the names
     */
    public Set<String> unreachableServers() {
        return Set.copyOf(failuresByServer.keySet());
    }

    private boolean hasEnoughEvidence(int serverCount, int domainCount) {
        int requiredServers = Math.max(MINIMUM_SERVERS, Math.min(REQUIRED_SERVERS, serverCount));
        int requiredDomains = Math.min(REQUIRED_DOMAINS, domainCount);
        long failedDomains = failuresByServer.values().stream()
                .map(Failure::failureDomain)
                .distinct()
                .count();
        return failuresByServer.size() >= requiredServers && failedDomains >= requiredDomains;
    }

    /** The latest failure of a connection to a server. */
    private record Failure(String failureDomain, long atMillis) {}
}
