package org.cassiabank.proxy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.admission.EntryHints;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SlotAsk;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.Outcome;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.once.ClaimAnswer;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimRecord;
import org.cassiabank.once.ClaimState;
import org.cassiabank.once.RecordedAnswer;
import org.cassiabank.peer.generated.ClaimReply;
import org.cassiabank.peer.generated.OutcomeKind;
import org.cassiabank.peer.generated.SlotGrant;
import org.cassiabank.peer.generated.SlotQueued;
import org.cassiabank.peer.generated.SlotRefusal;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;

/**
 * Converts between the values of the decision modules and the messages between proxies.
 */
final class PeerMessages {

    private PeerMessages() {}

    static SlotRequest toMessage(SlotAsk ask, ShardKey shard, long ticket) {
        return new SlotRequest(
                ask.entry(),
                shard.service(),
                ask.selector(),
                ask.route(),
                ask.caller(),
                ask.repeatable(),
                ask.remainingMillis(),
                List.copyOf(ask.excluded()),
                shard.number(),
                ticket,
                ask.cost().name(),
                ask.servers(),
                ask.hints().attempt(),
                ask.hints().failureDomain(),
                List.copyOf(ask.hints().connected()),
                ask.urgency(),
                ask.targetMillis());
    }

    static SlotAsk toAsk(SlotRequest message) {
        return new SlotAsk(
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
                new EntryHints(message.getAttempt(), message.getFailureDomain(), Set.copyOf(message.getConnected())));
    }

    static SlotReply toMessage(SlotDecision decision) {
        return switch (decision) {
            case Granted granted ->
                SlotReply.grant(new SlotGrant(
                        granted.lease(),
                        granted.server(),
                        granted.address(),
                        granted.leaseMillis(),
                        granted.hedgeAfterMillis()));
            case Refused refused ->
                SlotReply.refusal(new SlotRefusal(refused.reason().name(), refused.retryAfterMillis()));
            case Queued queued -> SlotReply.queued(new SlotQueued(queued.ticket()));
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

    static OutcomeKind toMessage(Outcome outcome) {
        return OutcomeKind.valueOf(outcome.name());
    }

    static Outcome toOutcome(OutcomeKind kind) {
        return Outcome.valueOf(kind.name());
    }

    static ClaimReply toMessage(ClaimAnswer answer) {
        ClaimReply reply = new ClaimReply(toMessage(answer.state()));
        answer.answer().ifPresent(recorded -> reply.setAnswer(toMessage(recorded)));
        return reply;
    }

    static ClaimAnswer toAnswer(ClaimReply reply) {
        ClaimState state = ClaimState.valueOf(reply.getState().name());
        return new ClaimAnswer(state, Optional.ofNullable(reply.getAnswer()).map(PeerMessages::toRecorded));
    }

    static org.cassiabank.peer.generated.ClaimState toMessage(ClaimState state) {
        return org.cassiabank.peer.generated.ClaimState.valueOf(state.name());
    }

    /** A conclusion travels as the state that the claim ends in; a release travels as GRANTED. */
    static org.cassiabank.peer.generated.ClaimState toMessage(ClaimConclusion conclusion) {
        return switch (conclusion) {
            case ClaimConclusion.Answered answered -> org.cassiabank.peer.generated.ClaimState.ANSWERED;
            case ClaimConclusion.OutcomeUnknown unknown -> org.cassiabank.peer.generated.ClaimState.UNKNOWN;
            case ClaimConclusion.Released released -> org.cassiabank.peer.generated.ClaimState.GRANTED;
        };
    }

    static ClaimConclusion toConclusion(
            org.cassiabank.peer.generated.ClaimState state, org.cassiabank.peer.generated.RecordedAnswer answer) {
        return switch (state) {
            case ANSWERED ->
                new ClaimConclusion.Answered(toRecorded(Objects.requireNonNull(answer, "an answer is missing")));
            case UNKNOWN -> new ClaimConclusion.OutcomeUnknown();
            case GRANTED -> new ClaimConclusion.Released();
            default ->
                throw CassiabankException.of(ErrorCode.INVALID_INPUT, "a claim cannot be concluded with " + state);
        };
    }

    static org.cassiabank.peer.generated.RecordedAnswer toMessage(RecordedAnswer answer) {
        return new org.cassiabank.peer.generated.RecordedAnswer(
                answer.status(), answer.headers(), ByteBuffer.wrap(answer.body()));
    }

    static List<org.cassiabank.peer.generated.ClaimRecord> toMessages(List<ClaimRecord> records) {
        List<org.cassiabank.peer.generated.ClaimRecord> messages = new ArrayList<>(records.size());
        for (ClaimRecord record : records) {
            org.cassiabank.peer.generated.ClaimRecord message = new org.cassiabank.peer.generated.ClaimRecord(
                    record.key(),
                    record.claim(),
                    record.requestDigest(),
                    toMessage(record.state()),
                    record.ageMillis());
            record.answer().ifPresent(answer -> message.setAnswer(toMessage(answer)));
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
                        Optional.ofNullable(message.getAnswer()).map(PeerMessages::toRecorded)))
                .toList();
    }

    private static RecordedAnswer toRecorded(org.cassiabank.peer.generated.RecordedAnswer answer) {
        return new RecordedAnswer(answer.getStatus(), answer.getHeaders(), answer.getBody());
    }
}
