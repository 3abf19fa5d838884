package org.cassiabank.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.ServerStart;

/**
 * The starts of the servers of a shard that the instance list holds, and since when. Instances are not thread-safe.
 */
final class ListedStarts {
    private Map<String, ListedStart> startsByName = Map.of();

    /**
     * Replaces the listed servers.
     *
     * @param servers all servers of the shard
     * @param nowMillis the current time in milliseconds
     * @return the former incarnations of the servers that were listed with another one until now, by name
     */
    Map<String, Long> replace(Collection<Instance> servers, long nowMillis) {
        Map<String, ListedStart> newStartsByName = new HashMap<>();
        Map<String, Long> formerIncarnations = new HashMap<>();
        for (Instance server : servers) {
            ListedStart former = startsByName.get(server.name());
            boolean same = former != null && former.incarnation() == server.incarnation();
            newStartsByName.put(server.name(), same ? former : new ListedStart(server.incarnation(), nowMillis));
            if (former != null && !same) {
                formerIncarnations.put(server.name(), former.incarnation());
            }
        }
        startsByName = newStartsByName;
        return formerIncarnations;
    }

    Set<String> serverNames() {
        return startsByName.keySet();
    }

    /** Returns the incarnation of a server, empty if it is not listed. */
    OptionalLong incarnation(String serverName) {
        ListedStart listed = startsByName.get(serverName);
        return listed == null ? OptionalLong.empty() : OptionalLong.of(listed.incarnation());
    }

    /**
     * Returns the start of a server to which an attempt belongs.
     *
     * @param serverName the name of the server
     * @param grantedAtMillis when the slot of the attempt was granted, in milliseconds
     * @return the present start; empty if it was not listed yet then, so that the attempt may belong to a former one
     */
    Optional<ServerStart> startOfAttempt(String serverName, long grantedAtMillis) {
        return Optional.ofNullable(startsByName.get(serverName))
                .filter(listed -> grantedAtMillis >= listed.sinceMillis())
                .map(listed -> new ServerStart(serverName, listed.incarnation()));
    }

    private record ListedStart(long incarnation, long sinceMillis) {}
}
