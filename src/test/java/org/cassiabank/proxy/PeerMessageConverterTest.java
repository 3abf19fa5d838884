package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.MessageBytes;
import org.cassiabank.admission.PlacementHints;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.OutcomeKind;
import org.cassiabank.peer.generated.SlotOutcome;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.peer.generated.StoreChanges;
import org.cassiabank.peer.generated.StoreRelayState;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreEvent;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;
import org.cassiabank.source.StoreWatchResult;
import org.junit.jupiter.api.Test;

/** Guards against messages that lose the era of a revision or the outcome of a request on the way between proxies. */
class PeerMessageConverterTest {

    @Test
    void changesKeepTheEraOfTheirRevisions() {
        StoreRelayReply.Current current = new StoreRelayReply.Current(
                new StoreWatchResult(
                        List.of(
                                new StoreEvent.Written(
                                        new StoreEntry("servers/a", new byte[] {1}, new StoreRevision(3, 11))),
                                new StoreEvent.Removed("servers/b", new StoreRevision(3, 12))),
                        new StoreRevision(3, 14)),
                700,
                OptionalLong.of(-40));
        StoreRelayReply.Current converted = (StoreRelayReply.Current)
                PeerMessageConverter.toStoreRelayReply(PeerMessageConverter.toMessage(current));
        assertThat(converted.changes().revision()).isEqualTo(new StoreRevision(3, 14));
        assertThat(converted.changes().events())
                .extracting(StoreEvent::revision)
                .containsExactly(new StoreRevision(3, 11), new StoreRevision(3, 12));
        assertThat(converted.graceMillis()).isEqualTo(700);
        assertThat(converted.confirmedBeforeCallMillis()).hasValue(-40);
    }

    @Test
    void aWatcherOfAnotherEraSaysSoAndOneOfAReleaseWithoutErasNamesEraZero() {
        StoreRelayReply other = new StoreRelayReply.OtherEra(4);
        assertThat(PeerMessageConverter.toStoreRelayReply(PeerMessageConverter.toMessage(other)))
                .isEqualTo(other);
        StoreRelayReply unavailable = new StoreRelayReply.Unavailable();
        assertThat(PeerMessageConverter.toStoreRelayReply(PeerMessageConverter.toMessage(unavailable)))
                .isEqualTo(unavailable);
        StoreRelayReply formerRelease =
                PeerMessageConverter.toStoreRelayReply(new StoreChanges(StoreRelayState.CURRENT, 14, List.of(), 0));
        assertThat(((StoreRelayReply.Current) formerRelease).changes().revision())
                .isEqualTo(new StoreRevision(0, 14));
        assertThat(((StoreRelayReply.Current) formerRelease).confirmedBeforeCallMillis())
                .isEmpty();
    }

    @Test
    void theOutcomeOfAForwardedRequestReachesTheEntryUnchanged() {
        RequestResult refused = RequestResult.notRun("wait-too-long", 450);
        RequestResult unknown = RequestResult.unknown("timeout");
        RequestResult delivered = RequestResult.delivered(new ResponseReceived(
                503, Map.of("x", List.of("1", "2")), new byte[] {1, 2}, ServerNotice.none(), false, ""));
        assertThat(throughMessage(refused)).contains(refused);
        assertThat(throughMessage(unknown)).contains(unknown);
        ResponseReceived response =
                ((RequestResult.Delivered) throughMessage(delivered).orElseThrow()).response();
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.headers()).containsEntry("x", List.of("1", "2"));
        assertThat(response.body()).containsExactly(1, 2);
        assertThat(PeerMessageConverter.toRequestResult(ForwardedReply.declined("cut-off")))
                .isEmpty();
    }

    @Test
    void aSpoiledResponseIsABrokenConnectionToADaemonOfAnEarlierRelease() {
        SlotOutcome message =
                new SlotOutcome("desk", 0, 1, PeerMessageConverter.toMessage(AttemptOutcome.SPOILED), 1_000, false);
        assertThat(message.getKind()).isEqualTo(OutcomeKind.BROKEN);
        assertThat(PeerMessageConverter.toAttemptOutcome(message)).isEqualTo(AttemptOutcome.BROKEN);
        assertThat(PeerMessageConverter.toAttemptOutcome(message.setServerResponded(true)))
                .isEqualTo(AttemptOutcome.SPOILED);
    }

    @Test
    void bytesAndNarrowLinksReachTheOwnerAndAreMissingFromAnEarlierRelease() {
        AdmissionRequest request = new AdmissionRequest(
                "entry",
                "desk",
                "desk",
                "customer",
                CostHint.LEARNED,
                true,
                0,
                100,
                0,
                Set.of(),
                Map.of(),
                new PlacementHints(1, "north", Set.of(), true),
                RequestDigest.none());
        SlotRequest slotRequest = PeerMessageConverter.toMessage(request, new ShardKey("desk", 0), 0);
        assertThat(PeerMessageConverter.toAdmissionRequest(slotRequest)).isEqualTo(request);
        slotRequest.unsetNarrowLinks();
        assertThat(PeerMessageConverter.toAdmissionRequest(slotRequest).hints().narrowLinks())
                .isFalse();
        SlotOutcome outcome = new SlotOutcome("desk", 0, 1, OutcomeKind.ANSWERED, 1_000, false);
        assertThat(PeerMessageConverter.toMessageBytes(outcome)).isEmpty();
        assertThat(PeerMessageConverter.toMessageBytes(
                        outcome.setRequestBytes(7).setResponseBytes(90_000)))
                .contains(new MessageBytes(7, 90_000));
    }

    private static Optional<RequestResult> throughMessage(RequestResult result) {
        return PeerMessageConverter.toRequestResult(PeerMessageConverter.toMessage(result, List.of()));
    }
}
