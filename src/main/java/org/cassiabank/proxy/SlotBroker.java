package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.peer.generated.SlotOutcome;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.retry.RetryBudget;
import org.cassiabank.retry.RetryReason;

/**
 * Gets slots for the requests of this entry proxy, from the owner of a shard or, when no owner answers, from this
 * daemon's own scheduler.
 */
final class SlotBroker {
    /** An owner answers within 100 ms even when the request has to wait, so a silent one is taken for failed. */
    private static final int ACQUIRE_TIMEOUT_MILLIS = 250;

    private static final int REPORT_TIMEOUT_MILLIS = 1_000;

    /** Without an owner an entry proxy repeats a tenth of its requests at most. */
    private static final double OWN_REPEAT_RATIO = 0.1;

    private static final int OWN_REPEATS = 2;
    private static final long OWN_REPEAT_MILLIS = 500;

    private final ProxySettings settings;
    private final FleetState fleet;
    private final OwnedShards ownedShards;
    private final PeerCaller peerCaller;
    private final RetryBudget ownRepeats = RetryBudget.create(OWN_REPEAT_RATIO, OWN_REPEATS);

    private SlotBroker(ProxySettings settings, FleetState fleet, OwnedShards ownedShards, PeerCaller peerCaller) {
        this.settings = settings;
        this.fleet = fleet;
        this.ownedShards = ownedShards;
        this.peerCaller = peerCaller;
    }

    static SlotBroker create(ProxySettings settings, FleetState fleet, OwnedShards ownedShards, PeerCaller peerCaller) {
        return new SlotBroker(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(ownedShards, "ownedShards"),
                Objects.requireNonNull(peerCaller, "peerCaller"));
    }

    /**
     * Gets a slot, and waits for it as long as the deadline allows. Nothing is sent to a backend server, so the search
     * can go from one candidate to the next at any moment.
     *
     * @param service the name of the service
     * @param request the request; its remaining time counts from now
     * @param presence tells whether the caller still waits
     * @return a slot or a refusal
     */
    SlotResult acquire(String service, AdmissionRequest request, CallerPresence presence) {
        FleetView view = fleet.view();
        int shards = view.shardCount(service);
        int first = ThreadLocalRandom.current().nextInt(shards);
        long deadline = MonotonicClock.millis() + request.remainingMillis();
        SlotResult result = acquire(view, new ShardKey(service, first), request, deadline, presence);
        if (result instanceof SlotResult.NoSlot && shards > 1 && !presence.isGone()) {
            // A full shard says nothing about the others; a second try spreads a crest that hits one of them.
            int second = (first + 1 + ThreadLocalRandom.current().nextInt(shards - 1)) % shards;
            return acquire(view, new ShardKey(service, second), request, deadline, presence);
        }
        return result;
    }

    /**
     * Reports how an attempt ended, which frees its slot. A report that is lost frees the slot when the lease lapses.
     *
     * @param slot the slot
     * @param outcome the outcome
     * @param latencyMicros the duration of the attempt in microseconds
     * @param serverLeaving whether the server said that it is leaving
     */
    void report(SlotResult.Slot slot, AttemptOutcome outcome, long latencyMicros, boolean serverLeaving) {
        if (slot.owner().isEmpty()) {
            ownedShards.completeLease(slot.shard(), slot.lease(), outcome, latencyMicros, serverLeaving);
            return;
        }
        SlotOutcome message = new SlotOutcome(
                slot.shard().service(),
                slot.shard().number(),
                slot.lease(),
                PeerMessageConverter.toMessage(outcome),
                latencyMicros,
                serverLeaving);
        try {
            peerCaller.call(slot.owner().get(), "report", REPORT_TIMEOUT_MILLIS, client -> {
                client.report(message);
                return true;
            });
        } catch (CassiabankException exception) {
            // The lease lapses at the owner; there is nobody else to tell.
            return;
        }
    }

    private SlotResult acquire(
            FleetView view, ShardKey shard, AdmissionRequest request, long deadline, CallerPresence presence) {
        if (settings.scheduling() == SchedulingMode.OWNER) {
            for (Instance candidate : view.ownerCandidates(shard)) {
                if (peerCaller.isSelf(candidate)) {
                    return acquireFrom(Optional.empty(), shard, request, deadline, presence);
                }
                if (peerCaller.isReachable(candidate)) {
                    try {
                        return acquireFrom(Optional.of(candidate), shard, request, deadline, presence);
                    } catch (CassiabankException exception) {
                        // The peer caller remembers the failure; the next candidate is as good.
                        continue;
                    }
                }
            }
        }
        // This daemon sees only its own requests, so the fleet's budget for repeats is not its to spend.
        if (settings.scheduling() == SchedulingMode.OWNER
                && request.hints().isAdditionalAttempt()
                && !ownRepeats.trySpend(RetryReason.NOT_SENT)) {
            return new SlotResult.NoSlot(RefusalReason.RETRY_BUDGET.label(), OWN_REPEAT_MILLIS, "self");
        }
        ownRepeats.recordRequest();
        return acquireFrom(Optional.empty(), shard, request, deadline, presence);
    }

    private SlotResult acquireFrom(
            Optional<Instance> owner,
            ShardKey shard,
            AdmissionRequest request,
            long deadline,
            CallerPresence presence) {
        long ticket = 0;
        while (true) {
            long now = MonotonicClock.millis();
            AdmissionRequest current = request.withRemainingMillis(Math.max(0, deadline - now));
            long presented = ticket;
            SlotDecision decision = owner.isEmpty()
                    ? ownedShards.acquire(shard, current, presented)
                    : acquireRemotely(owner.get(), shard, current, presented);
            switch (decision) {
                case Granted granted -> {
                    return new SlotResult.Slot(
                            shard,
                            owner,
                            granted.leaseId(),
                            granted.serverName(),
                            granted.address(),
                            now + granted.leaseDurationMillis(),
                            granted.hedgeDelayMillis());
                }
                case Refused refused
                when refused.reason() == RefusalReason.TICKET_EXPIRED && presented != 0 -> {
                    // A pause of this daemon or a new owner loses the place in the queue, not the request.
                    ticket = 0;
                }
                case Refused refused -> {
                    return new SlotResult.NoSlot(
                            refused.reason().label(),
                            refused.retryAfterMillis(),
                            owner.map(Instance::name).orElse("self"));
                }
                case Queued queued -> {
                    if (presence.isGone()) {
                        return new SlotResult.NoSlot(SlotResult.CALLER_GONE, 0, "self");
                    }
                    ticket = queued.ticketId();
                }
            }
        }
    }

    private SlotDecision acquireRemotely(Instance owner, ShardKey shard, AdmissionRequest request, long ticket) {
        SlotRequest message = PeerMessageConverter.toMessage(request, shard, ticket);
        SlotReply reply = peerCaller.call(owner, "acquire", ACQUIRE_TIMEOUT_MILLIS, client -> client.acquire(message));
        return PeerMessageConverter.toDecision(reply);
    }
}
