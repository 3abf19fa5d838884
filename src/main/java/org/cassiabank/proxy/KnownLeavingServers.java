package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.LeavingServers;
import org.cassiabank.membership.ServerStart;

/**
 * The backend servers that this daemon knows to be leaving from responses to its own attempts and from its peers,
 * whatever the store and the owners of the slots report. Thread-safe.
 */
final class KnownLeavingServers {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final FleetState fleet;
    private final LeavingServers announcements = LeavingServers.create();
    /** Lets the checks of each server pass without the lock while none is leaving. */
    private volatile boolean empty = true;

    private KnownLeavingServers(FleetState fleet) {
        this.fleet = fleet;
    }

    /**
     * Creates an empty memory, which follows the instance list of this daemon.
     *
     * @param fleet the state of the fleet
     * @param metrics the registry for the number of servers
     * @return the memory
     */
    static KnownLeavingServers create(FleetState fleet, ProxyMetrics metrics) {
        KnownLeavingServers servers = new KnownLeavingServers(Objects.requireNonNull(fleet, "fleet"));
        fleet.addListener((formerView, newView) -> servers.forgetFormer(newView));
        metrics.registerGauge(
                "cassiabank_leaving_servers",
                "Listed servers that announced in a response that they are leaving.",
                () -> servers.listed().size());
        return servers;
    }

    /**
     * Records that a server is leaving.
     *
     * @param start the start of the server
     * @param source who reported it, for the log line
     * @return true if it was not known
     */
    boolean record(ServerStart start, String source) {
        synchronized (this) {
            if (!announcements.record(start, MonotonicClock.millis())) {
                return false;
            }
            empty = false;
        }
        LOGGER.atInfo().log(
                "server %s (incarnation %d) is leaving according to %s; it gets no further requests",
                start.serverName(), start.incarnation(), source);
        return true;
    }

    /**
     * Records the servers that a peer knows to be leaving.
     *
     * @param starts the starts of the servers
     * @param peerName the name of the peer
     * @return true if one of them was not known
     */
    boolean merge(List<ServerStart> starts, String peerName) {
        boolean changed = false;
        for (ServerStart start : starts) {
            changed |= record(start, "peer " + peerName);
        }
        return changed;
    }

    /** Tells whether a start of a server is leaving. */
    boolean isLeaving(String serverName, long incarnation) {
        return !empty && isLeaving(new ServerStart(serverName, incarnation));
    }

    private synchronized boolean isLeaving(ServerStart start) {
        return announcements.isLeaving(start, MonotonicClock.millis());
    }

    /**
     * Returns the servers of which peers should know.
     *
     * @return those that are leaving and listed; without those whose start is unknown, because peers could keep each
     *     other from forgetting them
     */
    List<ServerStart> toTellPeers() {
        return listed().stream().filter(start -> start.incarnation() != 0).toList();
    }

    /** Returns those of the servers of a shard of which its owner should know, see {@link #toTellPeers()}. */
    List<ServerStart> toTellOwner(ShardKey shard, FleetView view) {
        return empty
                ? List.of()
                : view.servers(shard).stream()
                        .map(server -> ServerStart.of(server.instance()))
                        .filter(start -> start.incarnation() != 0 && isLeaving(start))
                        .toList();
    }

    private List<ServerStart> listed() {
        if (empty) {
            return List.of();
        }
        FleetView view = fleet.view();
        synchronized (this) {
            return announcements.all().stream()
                    .filter(start -> isLeaving(start) && isListed(start, view))
                    .toList();
        }
    }

    private synchronized void forgetFormer(FleetView view) {
        if (!empty) {
            announcements.forgetFormer(start -> isListed(start, view), MonotonicClock.millis());
            empty = announcements.all().isEmpty();
        }
    }

    private static boolean isListed(ServerStart start, FleetView view) {
        Optional<Instance> listed = view.instances().find(start.serverName());
        return listed.map(ServerStart::of).filter(start::equals).isPresent();
    }
}
