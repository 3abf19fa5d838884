package org.cassiabank.proxy;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.MessageBytes;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.admission.ServerRateLimit;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerCrash;
import org.cassiabank.health.SuspectedRequest;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.ServerStart;
import org.cassiabank.peer.generated.SlotOutcome;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.retry.RetryBudget;
import org.cassiabank.retry.RetryReason;

/**
 * Acquires slots for the requests of this entry proxy from the owner of a shard or, when no owner answers, from this
 * daemon's own scheduler.
 */
final class SlotBroker {
    /** An owner answers within 100 ms even if the request has to wait, so one that does not answer counts as failed. */
    private static final int ACQUIRE_TIMEOUT_MILLIS = 250;

    private static final int REPORT_TIMEOUT_MILLIS = 1_000;

    /** The largest share of requests that an entry proxy retries when no owner answers: a tenth. */
    private static final double FALLBACK_RETRY_RATIO = 0.1;

    /** The largest number of unused retries that are kept for later. */
    private static final int FALLBACK_RETRY_CAPACITY = 2;

    private static final long FALLBACK_RETRY_AFTER_MILLIS = 500;

    private final ProxySettings settings;
    private final FleetState fleet;
    private final OwnedShards ownedShards;
    private final FatalRequestExchange fatalRequests;
    private final PeerTransport peerTransport;
    private final KnownLeavingServers leavingServers;
    private final ProxyMetrics metrics;
    private final ShardChooser shardChooser;
    private final KnownRateLimits rateLimits = KnownRateLimits.create();
    private final RetryBudget fallbackRetryBudget = RetryBudget.create(FALLBACK_RETRY_RATIO, FALLBACK_RETRY_CAPACITY);

    private SlotBroker(
            ProxySettings settings,
            FleetState fleet,
            OwnedShards ownedShards,
            FatalRequestExchange fatalRequests,
            PeerTransport peerTransport,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics) {
        this.settings = settings;
        this.fleet = fleet;
        this.ownedShards = ownedShards;
        this.fatalRequests = fatalRequests;
        this.peerTransport = peerTransport;
        this.leavingServers = leavingServers;
        this.metrics = metrics;
        this.shardChooser =
                ShardChooser.create(new FailureDomain(settings.region(), settings.failureDomain()), metrics);
    }

    static SlotBroker create(
            ProxySettings settings,
            FleetState fleet,
            OwnedShards ownedShards,
            FatalRequestExchange fatalRequests,
            PeerTransport peerTransport,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics) {
        SlotBroker broker = new SlotBroker(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(ownedShards, "ownedShards"),
                Objects.requireNonNull(fatalRequests, "fatalRequests"),
                Objects.requireNonNull(peerTransport, "peerTransport"),
                Objects.requireNonNull(leavingServers, "leavingServers"),
                Objects.requireNonNull(metrics, "metrics"));
        fleet.addListener(broker.rateLimits::update);
        return broker;
    }

    /**
     * Tells whether servers in other failure domains cost by the bytes of messages.
     *
     * @return true if the link of this daemon is narrow
     */
    boolean hasNarrowLinks() {
        return settings.hasNarrowLinks();
    }

    /**
     * Acquires a slot and waits for it until the deadline. Since nothing is sent to a backend server, the search can
     * proceed from one owner candidate to the next at any time.
     *
     * @param service the name of the service
     * @param request the request; its remaining time counts from now
     * @param abandoned tells whether the slot is not waited for any longer
     * @return a slot, or the reason why none was granted
     */
    SlotResult acquire(String service, AdmissionRequest request, BooleanSupplier abandoned) {
        FleetView view = fleet.view();
        ShardDivision division = view.division(service);
        long deadlineMillis = MonotonicClock.millis() + request.remainingMillis();
        if (division.shards().size() == 1) {
            ShardKey onlyShard =
                    new ShardKey(service, division.shards().getFirst().number());
            return acquire(view, onlyShard, request, deadlineMillis, abandoned);
        }
        ShardKey first = shardChooser.choose(service, division, request);
        SlotResult result = acquire(view, first, request, deadlineMillis, abandoned);
        if (!(result instanceof SlotResult.NoSlot refused)
                || refused.reason().equals(RefusalReason.QUOTA.label())
                || abandoned.getAsBoolean()) {
            return result;
        }
        // Other shards may have capacity when one is full; a second shard spreads a load peak that hits one.
        OptionalInt second = isRefusedByFormerRelease(refused, first, division)
                ? OptionalInt.of(ThreadLocalRandom.current().nextInt(division.mixedShardCount()))
                : shardChooser.chooseAfterRefusal(first, division, request);
        if (second.isEmpty()) {
            return result;
        }
        metrics.recordSecondShard(refused.reason());
        return acquire(view, new ShardKey(service, second.getAsInt()), request, deadlineMillis, abandoned);
    }

    /** Tells whether an owner of the previous release refused because it knows no servers by the number of a shard. */
    private boolean isRefusedByFormerRelease(SlotResult.NoSlot refused, ShardKey shard, ShardDivision division) {
        return division.isByFailureDomain()
                && refused.reason().equals(RefusalReason.NO_SERVER.label())
                && !shardChooser.hasOccupancy(shard);
    }

    /**
     * Reports the outcome of an attempt, which frees its slot. If the report is lost, the slot is freed when its lease
     * expires.
     *
     * @param slot the slot
     * @param outcome the outcome
     * @param latencyMicros the duration of the attempt in microseconds
     * @param notice what the response said about the server
     * @param bytes the bytes of request and response, which count if the links are narrow; empty without a response
     */
    void report(
            SlotResult.Slot slot,
            AttemptOutcome outcome,
            long latencyMicros,
            ServerNotice notice,
            Optional<MessageBytes> bytes) {
        Optional<MessageBytes> countedBytes = bytes.filter(present -> settings.hasNarrowLinks());
        rateLimits.record(slot.serverName(), notice.rateLimit(), latencyMicros);
        if (slot.owner().isEmpty()) {
            countedBytes.ifPresent(present -> ownedShards.recordMessageBytes(slot.shard(), slot.leaseId(), present));
            ownedShards.completeLease(
                    slot.shard(), slot.leaseId(), outcome, latencyMicros, notice, slot.serverName(), slot.digest());
            return;
        }
        SlotOutcome message = new SlotOutcome(
                slot.shard().service(),
                slot.shard().number(),
                slot.leaseId(),
                PeerMessageConverter.toMessage(outcome),
                latencyMicros,
                notice.leaving());
        PeerMessageConverter.toMessage(notice.rateLimit()).ifPresent(message::setRateLimit);
        countedBytes.ifPresent(
                present -> message.setRequestBytes(present.requestBytes()).setResponseBytes(present.responseBytes()));
        if (outcome == AttemptOutcome.BROKEN) {
            message.setServer(slot.serverName()).setDigest(slot.digest().hex());
        } else if (outcome == AttemptOutcome.SPOILED) {
            message.setServerResponded(true);
        }
        try {
            peerTransport.call(slot.owner().get(), "report", REPORT_TIMEOUT_MILLIS, client -> {
                client.report(message);
                return true;
            });
        } catch (CassiabankException exception) {
            // The lease expires at the owner, but its successor has to know which request broke a connection.
            if (outcome == AttemptOutcome.BROKEN) {
                reportCrashToSuccessor(slot);
            }
        }
    }

    private void reportCrashToSuccessor(SlotResult.Slot slot) {
        FleetView view = fleet.view();
        ServerCrash crash = new ServerCrash(slot.serverName(), view.incarnation(slot.serverName()), 0, false);
        SuspectedRequest request =
                new SuspectedRequest(slot.digest(), slot.shard().service(), List.of(crash));
        for (Instance candidate : view.ownerCandidates(slot.shard())) {
            if (peerTransport.isSelf(candidate)) {
                fatalRequests.merge(List.of(request));
                return;
            }
            if (peerTransport.isReachable(candidate)) {
                try {
                    fatalRequests.send(candidate, List.of(request));
                    return;
                } catch (CassiabankException exception) {
                    // The peer transport has recorded the failure; the next candidate may own the shard as well.
                    continue;
                }
            }
        }
    }

    private SlotResult acquire(
            FleetView view, ShardKey shard, AdmissionRequest request, long deadlineMillis, BooleanSupplier abandoned) {
        if (settings.scheduling() == SchedulingMode.OWNER) {
            for (Instance candidate : view.ownerCandidates(shard)) {
                if (peerTransport.isSelf(candidate)) {
                    return acquireFrom(Optional.empty(), shard, request, deadlineMillis, abandoned);
                }
                if (peerTransport.isReachable(candidate)) {
                    try {
                        return acquireFrom(Optional.of(candidate), shard, request, deadlineMillis, abandoned);
                    } catch (CassiabankException exception) {
                        // The peer transport has recorded the failure; the next candidate can grant the slot as well.
                        continue;
                    }
                }
            }
        }
        // This daemon counts only its own requests, so the retry budget of the fleet cannot be applied here.
        if (settings.scheduling() == SchedulingMode.OWNER
                && request.hints().isAdditionalAttempt()
                && !fallbackRetryBudget.trySpend(RetryReason.NOT_SENT)) {
            return new SlotResult.NoSlot(RefusalReason.RETRY_BUDGET.label(), FALLBACK_RETRY_AFTER_MILLIS, "self");
        }
        fallbackRetryBudget.recordRequest();
        AdmissionRequest requestInTurn =
                request.withFurtherExcludedServers(rateLimits.serversOfOtherTurns(settings.name(), view));
        return acquireFrom(Optional.empty(), shard, requestInTurn, deadlineMillis, abandoned);
    }

    private SlotResult acquireFrom(
            Optional<Instance> owner,
            ShardKey shard,
            AdmissionRequest request,
            long deadlineMillis,
            BooleanSupplier abandoned) {
        long ticketId = 0;
        while (true) {
            long nowMillis = MonotonicClock.millis();
            AdmissionRequest current = request.withRemainingMillis(Math.max(0, deadlineMillis - nowMillis));
            long presentedTicketId = ticketId;
            List<ServerRateLimit> news =
                    rateLimits.takeNews(owner.map(Instance::name).orElse(settings.name()), shard, fleet.view());
            SlotDecision decision = decide(owner, shard, current, presentedTicketId, news);
            switch (decision) {
                case Granted granted -> {
                    return new SlotResult.Slot(
                            shard,
                            owner,
                            granted.leaseId(),
                            granted.serverName(),
                            granted.address(),
                            nowMillis + granted.leaseDurationMillis(),
                            request.digest(),
                            granted.hedgeDelayMillis());
                }
                case Refused refused
                when refused.reason() == RefusalReason.TICKET_EXPIRED && presentedTicketId != 0 -> {
                    // After a pause of this daemon or a change of owner only the place in the queue is lost: the
                    // request is submitted again without a ticket.
                    ticketId = 0;
                }
                case Refused refused -> {
                    return new SlotResult.NoSlot(
                            refused.reason().label(),
                            refused.retryAfterMillis(),
                            owner.map(Instance::name).orElse("self"));
                }
                case Queued queued -> {
                    if (abandoned.getAsBoolean()) {
                        return new SlotResult.NoSlot(SlotResult.ABANDONED, 0, "self");
                    }
                    ticketId = queued.ticketId();
                }
            }
        }
    }

    private SlotDecision decide(
            Optional<Instance> owner,
            ShardKey shard,
            AdmissionRequest request,
            long ticketId,
            List<ServerRateLimit> news) {
        if (ticketId == 0) {
            shardChooser.recordRequest(shard);
            metrics.recordSlotRequest(owner.map(peer ->
                            peer.failureDomain().equals(settings.failureDomain()) ? "own-domain" : "other-domain")
                    .orElse("self"));
        }
        try {
            if (owner.isPresent()) {
                return acquireFromPeer(owner.get(), shard, request, ticketId, news);
            }
            SlotDecision decision = ownedShards.acquire(shard, request, ticketId, news);
            // A daemon that schedules in place of an owner counts only its own requests.
            if (fleet.view().ownerCandidates(shard).stream().anyMatch(peerTransport::isSelf)) {
                ownedShards
                        .occupancyBesideOthers(shard)
                        .ifPresent(occupancy -> shardChooser.recordOccupancy(shard, occupancy));
            }
            return decision;
        } finally {
            if (ticketId == 0) {
                shardChooser.recordDecision(shard);
            }
        }
    }

    private SlotDecision acquireFromPeer(
            Instance owner, ShardKey shard, AdmissionRequest request, long ticketId, List<ServerRateLimit> news) {
        SlotRequest message = PeerMessageConverter.toMessage(request, shard, ticketId);
        if (!news.isEmpty()) {
            message.setRateLimits(
                    news.stream().map(PeerMessageConverter::toMessage).toList());
        }
        if (ticketId == 0) {
            List<ServerStart> leaving = leavingServers.toTellOwner(shard, fleet.view());
            if (!leaving.isEmpty()) {
                message.setLeavingServers(PeerMessageConverter.toStartedServers(leaving));
            }
        }
        SlotReply reply =
                peerTransport.call(owner, "acquire", ACQUIRE_TIMEOUT_MILLIS, client -> client.acquire(message));
        ShardLoadMessages.toOccupancy(reply).ifPresent(occupancy -> shardChooser.recordOccupancy(shard, occupancy));
        return PeerMessageConverter.toDecision(reply);
    }
}
