package org.cassiabank.proxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.MessageBytes;
import org.cassiabank.admission.PlacementHints;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RateLimitNotice;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.admission.ServerRateLimit;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerCrash;
import org.cassiabank.health.SuspectedRequest;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.membership.ServerStart;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimRecord;
import org.cassiabank.once.ClaimState;
import org.cassiabank.once.KeeperVote;
import org.cassiabank.once.RecordedResponse;
import org.cassiabank.peer.generated.BrokenProcess;
import org.cassiabank.peer.generated.ClaimReply;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.ForwardedRequest;
import org.cassiabank.peer.generated.KnownRateLimit;
import org.cassiabank.peer.generated.OutcomeKind;
import org.cassiabank.peer.generated.RateLimit;
import org.cassiabank.peer.generated.SlotGrant;
import org.cassiabank.peer.generated.SlotOutcome;
import org.cassiabank.peer.generated.SlotQueued;
import org.cassiabank.peer.generated.SlotRefusal;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.peer.generated.StartedServer;
import org.cassiabank.peer.generated.StoreChange;
import org.cassiabank.peer.generated.StoreChanges;
import org.cassiabank.peer.generated.StoreRelayState;
import org.cassiabank.peer.generated.Suspect;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreEvent;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;
import org.cassiabank.source.StoreWatchResult;

/**
 * Converts between the project's own types and the generated Thrift messages between proxies.
 */
final class PeerMessageConverter {

    private PeerMessageConverter() {}

    static SlotRequest toMessage(AdmissionRequest request, ShardKey shard, long ticketId) {
        SlotRequest message = new SlotRequest(
                request.entryProxy(),
                shard.service(),
                request.selector(),
                request.route(),
                request.customer(),
                request.repeatable(),
                request.remainingMillis(),
                List.copyOf(request.excludedServers()),
                shard.number(),
                ticketId,
                request.costHint().name(),
                request.requiredLabels(),
                request.hints().attemptNumber(),
                request.hints().failureDomain(),
                List.copyOf(request.hints().connectedServers()),
                request.urgencyRank(),
                request.targetLatencyMillis());
        if (request.hints().narrowLinks()) {
            message.setNarrowLinks(true);
        }
        if (request.customerWeight() != 1) {
            message.setCustomerWeight(request.customerWeight());
        }
        if (request.statedTargetMillis() != request.targetLatencyMillis()) {
            message.setStatedTargetMillis(request.statedTargetMillis());
        }
        message.setKnowsQuotas(true);
        return request.digest().isKnown() ? message.setDigest(request.digest().hex()) : message;
    }

    static AdmissionRequest toAdmissionRequest(SlotRequest message) {
        return new AdmissionRequest(
                message.getEntry(),
                message.getSelector(),
                message.getRoute(),
                message.getCaller(),
                CostHint.valueOf(message.getCost()),
                message.isRepeatable(),
                message.getUrgency(),
                message.getRemainingMillis(),
                message.getTargetMillis(),
                Set.copyOf(message.getExcluded()),
                message.getServers(),
                new PlacementHints(
                        message.getAttempt(),
                        message.getFailureDomain(),
                        Set.copyOf(message.getConnected()),
                        message.isSetNarrowLinks() && message.isNarrowLinks()),
                message.isSetDigest() ? new RequestDigest(message.getDigest()) : RequestDigest.none(),
                message.isSetCustomerWeight() ? message.getCustomerWeight() : 1,
                message.isSetStatedTargetMillis() ? message.getStatedTargetMillis() : message.getTargetMillis());
    }

    /** Replaces a reason that an entry of an earlier release does not know. */
    static SlotReply toMessage(SlotDecision decision, boolean knowsQuotas) {
        return decision instanceof Refused refused && refused.reason() == RefusalReason.QUOTA && !knowsQuotas
                ? toMessage(new Refused(RefusalReason.WAIT_TOO_LONG, refused.retryAfterMillis()))
                : toMessage(decision);
    }

    static SlotReply toMessage(SlotDecision decision) {
        return switch (decision) {
            case Granted granted ->
                SlotReply.grant(new SlotGrant(
                        granted.leaseId(),
                        granted.serverName(),
                        granted.address(),
                        granted.leaseDurationMillis(),
                        granted.hedgeDelayMillis()));
            case Refused refused ->
                SlotReply.refusal(new SlotRefusal(refused.reason().name(), refused.retryAfterMillis()));
            case Queued queued -> SlotReply.queued(new SlotQueued(queued.ticketId()));
        };
    }

    static SlotDecision toDecision(SlotReply reply) {
        return switch (reply.getSetField()) {
            case GRANT ->
                new Granted(
                        reply.getGrant().getLease(),
                        reply.getGrant().getServer(),
                        reply.getGrant().getAddress(),
                        reply.getGrant().getLeaseMillis(),
                        reply.getGrant().getHedgeAfterMillis());
            case REFUSAL ->
                new Refused(
                        RefusalReason.valueOf(reply.getRefusal().getReason()),
                        reply.getRefusal().getRetryAfterMillis());
            case QUEUED -> new Queued(reply.getQueued().getTicket());
        };
    }

    /** A daemon of an earlier release knows no spoiled response and takes it for a broken connection. */
    static OutcomeKind toMessage(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.SPOILED ? OutcomeKind.BROKEN : OutcomeKind.valueOf(outcome.name());
    }

    static AttemptOutcome toAttemptOutcome(SlotOutcome outcome) {
        return outcome.getKind() == OutcomeKind.BROKEN && outcome.isServerResponded()
                ? AttemptOutcome.SPOILED
                : AttemptOutcome.valueOf(outcome.getKind().name());
    }

    /** Returns the bytes of the messages; empty without a response, or if they do not count at the entry proxy. */
    static Optional<MessageBytes> toMessageBytes(SlotOutcome outcome) {
        return outcome.isSetRequestBytes() && outcome.isSetResponseBytes()
                ? Optional.of(new MessageBytes(
                        Math.max(0, outcome.getRequestBytes()), Math.max(0, outcome.getResponseBytes())))
                : Optional.empty();
    }

    static Optional<RateLimit> toMessage(RateLimitNotice notice) {
        return switch (notice) {
            case RateLimitNotice.Limited limited ->
                Optional.of(RateLimit.requestsPerSecond(limited.requestsPerSecond()));
            case RateLimitNotice.Unlimited unlimited -> Optional.of(RateLimit.unlimited(true));
            case RateLimitNotice.Unknown unknown -> Optional.empty();
        };
    }

    /** Returns what a report says of the server's limit; a peer of a release without the field says nothing. */
    static RateLimitNotice toRateLimitNotice(SlotOutcome message) {
        if (!message.isSetRateLimit()) {
            return new RateLimitNotice.Unknown();
        }
        return switch (message.getRateLimit().getSetField()) {
            case REQUESTS_PER_SECOND ->
                new RateLimitNotice.Limited(message.getRateLimit().getRequestsPerSecond());
            case UNLIMITED -> new RateLimitNotice.Unlimited();
        };
    }

    static KnownRateLimit toMessage(ServerRateLimit limit) {
        return new KnownRateLimit(limit.server(), limit.requestsPerSecond(), limit.ageMillis());
    }

    static Suspect toMessage(SuspectedRequest request) {
        List<BrokenProcess> processes = request.crashes().stream()
                .map(crash ->
                        new BrokenProcess(crash.server(), crash.incarnation(), crash.ageMillis(), crash.refuted()))
                .toList();
        return new Suspect(request.digest().hex(), request.service(), processes);
    }

    static List<SuspectedRequest> toSuspectedRequests(List<Suspect> messages) {
        return messages.stream()
                .map(message -> new SuspectedRequest(
                        new RequestDigest(message.getDigest()),
                        message.getServiceName(),
                        message.getProcesses().stream()
                                .map(process -> new ServerCrash(
                                        process.getServer(),
                                        process.getIncarnation(),
                                        process.getAgeMillis(),
                                        process.isRefuted()))
                                .toList()))
                .toList();
    }

    /** Returns the limits of servers that an entry proxy passes on with a request for a slot. */
    static List<ServerRateLimit> toServerRateLimits(SlotRequest message) {
        return message.isSetRateLimits()
                ? message.getRateLimits().stream()
                        .map(limit -> new ServerRateLimit(
                                limit.getServer(), limit.getRequestsPerSecond(), limit.getAgeMillis()))
                        .toList()
                : List.of();
    }

    static List<StartedServer> toStartedServers(List<ServerStart> starts) {
        return starts.stream()
                .map(start -> new StartedServer(start.serverName(), start.incarnation()))
                .toList();
    }

    /** Converts a list of servers; a peer of a release without the field sends none. */
    static List<ServerStart> toServerStarts(List<StartedServer> messages) {
        return messages == null
                ? List.of()
                : messages.stream()
                        .map(message -> new ServerStart(message.getServer(), message.getIncarnation()))
                        .toList();
    }

    static ClaimReply toMessage(KeeperVote vote) {
        ClaimReply reply = new ClaimReply(toMessage(vote.state()));
        vote.response().ifPresent(recorded -> reply.setAnswer(toMessage(recorded)));
        return reply;
    }

    static KeeperVote toVote(ClaimReply reply) {
        ClaimState state = ClaimState.valueOf(reply.getState().name());
        return new KeeperVote(
                state, Optional.ofNullable(reply.getAnswer()).map(PeerMessageConverter::toRecordedResponse));
    }

    static org.cassiabank.peer.generated.ClaimState toMessage(ClaimState state) {
        return org.cassiabank.peer.generated.ClaimState.valueOf(state.name());
    }

    /** A conclusion is sent as the state in which the claim ends; a release is sent as GRANTED. */
    static org.cassiabank.peer.generated.ClaimState toMessage(ClaimConclusion conclusion) {
        return switch (conclusion) {
            case ClaimConclusion.Answered answered -> org.cassiabank.peer.generated.ClaimState.ANSWERED;
            case ClaimConclusion.OutcomeUnknown unknown -> org.cassiabank.peer.generated.ClaimState.UNKNOWN;
            case ClaimConclusion.Released released -> org.cassiabank.peer.generated.ClaimState.GRANTED;
        };
    }

    static ClaimConclusion toConclusion(
            org.cassiabank.peer.generated.ClaimState state, org.cassiabank.peer.generated.RecordedAnswer response) {
        return switch (state) {
            case ANSWERED ->
                new ClaimConclusion.Answered(
                        toRecordedResponse(Objects.requireNonNull(response, "the recorded response is missing")));
            case UNKNOWN -> new ClaimConclusion.OutcomeUnknown();
            case GRANTED -> new ClaimConclusion.Released();
            default ->
                throw CassiabankException.of(ErrorCode.INVALID_INPUT, "a claim cannot be concluded with " + state);
        };
    }

    static org.cassiabank.peer.generated.RecordedAnswer toMessage(RecordedResponse response) {
        return new org.cassiabank.peer.generated.RecordedAnswer(
                response.status(), response.headers(), ByteBuffer.wrap(response.body()));
    }

    static List<org.cassiabank.peer.generated.ClaimRecord> toMessages(List<ClaimRecord> records) {
        List<org.cassiabank.peer.generated.ClaimRecord> messages = new ArrayList<>(records.size());
        for (ClaimRecord record : records) {
            org.cassiabank.peer.generated.ClaimRecord message = new org.cassiabank.peer.generated.ClaimRecord(
                    record.key(),
                    record.claimId(),
                    record.requestDigest(),
                    toMessage(record.state()),
                    record.ageMillis());
            record.response().ifPresent(response -> message.setAnswer(toMessage(response)));
            messages.add(message);
        }
        return messages;
    }

    static List<ClaimRecord> toRecords(List<org.cassiabank.peer.generated.ClaimRecord> messages) {
        return messages.stream()
                .map(message -> new ClaimRecord(
                        message.getKey(),
                        message.getClaim(),
                        message.getRequestDigest(),
                        ClaimState.valueOf(message.getState().name()),
                        message.getAgeMillis(),
                        Optional.ofNullable(message.getAnswer()).map(PeerMessageConverter::toRecordedResponse)))
                .toList();
    }

    private static RecordedResponse toRecordedResponse(org.cassiabank.peer.generated.RecordedAnswer response) {
        return new RecordedResponse(response.getStatus(), response.getHeaders(), response.getBody());
    }

    /** Converts a request that a peer passes on; the headers keep their lower case. */
    static CallerRequest toCallerRequest(ForwardedRequest message) {
        return new CallerRequest(
                message.getMethod(),
                message.getTarget(),
                message.getHeaders(),
                message.getBody(),
                message.getRemoteAddress());
    }

    /** Converts the result of a request that a peer passed on; a response carries the servers that are leaving. */
    static ForwardedReply toMessage(RequestResult result, List<ServerStart> leavingServers) {
        return switch (result) {
            case RequestResult.Delivered delivered -> {
                var answer = new org.cassiabank.peer.generated.RecordedAnswer(
                        delivered.response().status(),
                        delivered.response().headers(),
                        ByteBuffer.wrap(delivered.response().body()));
                if (!leavingServers.isEmpty()) {
                    answer.setLeavingServers(toStartedServers(leavingServers));
                }
                yield ForwardedReply.answer(answer);
            }
            case RequestResult.NotRun notRun ->
                ForwardedReply.notRun(new SlotRefusal(notRun.reason(), notRun.retryAfterMillis()));
            case RequestResult.Unknown unknown -> ForwardedReply.unknown(unknown.reason());
        };
    }

    /** Returns the servers that a peer, in its reply to a request that was passed on, names as leaving. */
    static List<ServerStart> leavingServers(ForwardedReply reply) {
        return reply.getSetField() == ForwardedReply._Fields.ANSWER
                ? toServerStarts(reply.getAnswer().getLeavingServers())
                : List.of();
    }

    /** Converts the reply to a request that was passed on; empty if the peer declined it. */
    static Optional<RequestResult> toRequestResult(ForwardedReply reply) {
        return switch (reply.getSetField()) {
            case ANSWER ->
                Optional.of(RequestResult.delivered(new ResponseReceived(
                        reply.getAnswer().getStatus(),
                        reply.getAnswer().getHeaders(),
                        reply.getAnswer().getBody(),
                        ServerNotice.none(),
                        false,
                        "")));
            case NOT_RUN ->
                Optional.of(RequestResult.notRun(
                        reply.getNotRun().getReason(), reply.getNotRun().getRetryAfterMillis()));
            case UNKNOWN -> Optional.of(RequestResult.unknown(reply.getUnknown()));
            case DECLINED -> Optional.empty();
        };
    }

    static StoreChanges toMessage(StoreRelayReply reply) {
        return switch (reply) {
            case StoreRelayReply.Current current -> {
                StoreChanges message = new StoreChanges(
                                StoreRelayState.CURRENT,
                                current.changes().revision().number(),
                                current.changes().events().stream()
                                        .map(PeerMessageConverter::toMessage)
                                        .toList(),
                                current.graceMillis())
                        .setEra(current.changes().revision().era());
                current.confirmedBeforeCallMillis().ifPresent(message::setConfirmedBeforeCallMillis);
                yield message;
            }
            case StoreRelayReply.OtherEra other ->
                new StoreChanges(StoreRelayState.UNAVAILABLE, 0, List.of(), 0).setEra(other.era());
            case StoreRelayReply.Unavailable unavailable ->
                new StoreChanges(StoreRelayState.UNAVAILABLE, 0, List.of(), 0);
        };
    }

    static StoreRelayReply toStoreRelayReply(StoreChanges message) {
        return switch (message.getState()) {
            case CURRENT ->
                new StoreRelayReply.Current(
                        new StoreWatchResult(
                                message.getChanges().stream()
                                        .map(change -> toStoreEvent(change, message.getEra()))
                                        .toList(),
                                new StoreRevision(message.getEra(), message.getRevision())),
                        message.getGraceMillis(),
                        message.isSetConfirmedBeforeCallMillis()
                                ? OptionalLong.of(message.getConfirmedBeforeCallMillis())
                                : OptionalLong.empty());
            case UNAVAILABLE ->
                message.isSetEra() ? new StoreRelayReply.OtherEra(message.getEra()) : new StoreRelayReply.Unavailable();
        };
    }

    private static StoreChange toMessage(StoreEvent event) {
        return switch (event) {
            case StoreEvent.Written written ->
                new StoreChange(written.entry().key(), written.revision().number())
                        .setValue(ByteBuffer.wrap(written.entry().value()));
            case StoreEvent.Removed removed ->
                new StoreChange(removed.key(), removed.revision().number());
        };
    }

    private static StoreEvent toStoreEvent(StoreChange message, long era) {
        StoreRevision revision = new StoreRevision(era, message.getRevision());
        return message.isSetValue()
                ? new StoreEvent.Written(new StoreEntry(message.getKey(), message.getValue(), revision))
                : new StoreEvent.Removed(message.getKey(), revision);
    }
}
