package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.cassiabank.health.Outcome;
import org.cassiabank.health.ServerHealth;

/**
 * Decides who gets the slots of one shard's backend servers.
 *
 * <p>Instances are not thread-safe.
 */
public final class SlotScheduler {
    private final SchedulerSettings settings;
    private final Map<String, ServerCapacity> servers = new LinkedHashMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long lastLease;

    private SlotScheduler(SchedulerSettings settings) {
        this.settings = settings;
    }

    /**
     * Creates a scheduler without servers.
     *
     * @param settings the settings
     * @return the scheduler
     */
    public static SlotScheduler create(SchedulerSettings settings) {
        return new SlotScheduler(Objects.requireNonNull(settings, "settings"));
    }

    /**
     * Replaces the servers of the shard. Leases on servers that are gone stay valid.
     *
     * @param capacities all servers of the shard
     * @param nowMillis the current time in milliseconds
     */
    public void updateServers(List<ServerCapacity> capacities, long nowMillis) {
        servers.clear();
        capacities.forEach(capacity -> servers.put(capacity.name(), capacity));
    }

    /**
     * Asks for a slot. The decision is made at once; a queued request gets its final decision from
     * {@link #advance(long)} or {@link #renew(long, long)}.
     *
     * @param ask the request
     * @param nowMillis the current time in milliseconds
     * @return a grant, a refusal or a ticket
     */
    public SlotDecision offer(SlotAsk ask, long nowMillis) {
        for (ServerCapacity server : servers.values()) {
            long held = leases.values().stream()
                    .filter(lease -> lease.server.equals(server.name()))
                    .count();
            if (server.health() == ServerHealth.HEALTHY && !server.leaving() && held < server.slots()) {
                long leaseMillis = ask.remainingMillis() + settings.leaseGraceMillis();
                leases.put(++lastLease, new Lease(ask, server.name(), nowMillis));
                return new Granted(lastLease, server.name(), server.address(), leaseMillis, 0);
            }
        }
        return new Refused(RefusalReason.QUEUE_FULL, 100);
    }

    /**
     * Keeps a queued request in the queue.
     *
     * @param ticket the ticket
     * @param nowMillis the current time in milliseconds
     * @return empty if the request is still queued, otherwise its final decision, which {@link #advance(long)} will
     *     then not return; {@link RefusalReason#TICKET_EXPIRED} if the ticket is not known or was decided before
     */
    public Optional<SlotDecision> renew(long ticket, long nowMillis) {
        return Optional.of(new Refused(RefusalReason.TICKET_EXPIRED, 0));
    }

    /**
     * Takes a request out of the queue without a decision. A grant that nobody has received yet is released.
     *
     * @param ticket the ticket
     * @param nowMillis the current time in milliseconds
     */
    public void cancel(long ticket, long nowMillis) {}

    /**
     * Ends a lease and learns from its outcome. Reports of leases that are expired or not known are ignored.
     *
     * @param lease the lease
     * @param outcome how the request ended
     * @param latencyMicros the time between sending the request and its end, in microseconds
     * @param nowMillis the current time in milliseconds
     * @return what the lease was for, or empty if the report was ignored
     */
    public Optional<FinishedLease> finish(long lease, Outcome outcome, long latencyMicros, long nowMillis) {
        Lease ended = leases.remove(lease);
        return Optional.ofNullable(ended).map(found -> new FinishedLease(found.server, found.ask.route()));
    }

    /**
     * Frees the leases of an entry that is gone and refuses its queued requests.
     *
     * @param entry the name of the entry
     * @param nowMillis the current time in milliseconds
     */
    public void loseEntry(String entry, long nowMillis) {
        leases.values().removeIf(lease -> lease.ask.entry().equals(entry));
    }

    /**
     * Expires leases and tickets and gives free slots to queued requests. To be called after each report, after each
     * change of servers and at least every few milliseconds.
     *
     * @param nowMillis the current time in milliseconds
     * @return the final decisions since the last call, each returned once
     */
    public List<TicketDecision> advance(long nowMillis) {
        return List.of();
    }

    /**
     * Returns the requests that hold a lease.
     *
     * @param nowMillis the current time in milliseconds
     * @return the requests in the order of their grants
     */
    public List<InFlight> inFlight(long nowMillis) {
        List<InFlight> result = new ArrayList<>();
        leases.values()
                .forEach(lease -> result.add(
                        new InFlight(lease.server, lease.ask.route(), (nowMillis - lease.grantedAt) * 1000)));
        return result;
    }

    /**
     * Tells whether a server has completed its cold-start ramp.
     *
     * @param server the name of the server
     * @return true if the server is known and takes its full number of slots
     */
    public boolean isWarm(String server) {
        return servers.containsKey(server);
    }

    private record Lease(SlotAsk ask, String server, long grantedAt) {}
}
