package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.membership.ServerStart;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.ForwardedRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a proxy that takes requests of its peers which it cannot serve, or cuts them off when it stops. */
@Timeout(30)
class ForwardedRequestsTest {
    private static final int MAXIMUM_BODY_BYTES = 1_000;

    private final AtomicBoolean cutOff = new AtomicBoolean();
    private final CompletableFuture<CallerPresence> running = new CompletableFuture<>();
    private final CompletableFuture<Optional<RequestResult>> result = new CompletableFuture<>();
    private final FleetState fleet = FleetState.create("region");
    private final KnownLeavingServers leavingServers = KnownLeavingServers.create(fleet, ProxyMetrics.create());
    private final ForwardedRequests requests = ForwardedRequests.create(
            (request, remainingMillis, formerAttempts, revision, customer, presence) -> {
                running.complete(presence);
                return result.join();
            },
            cutOff::get,
            leavingServers,
            MAXIMUM_BODY_BYTES);

    @Test
    void aProxyThatReachesNoServerOrIsStoppingDeclines() {
        cutOff.set(true);
        assertThat(requests.carryOut(request("a", 1))).isEqualTo(ForwardedReply.declined("cut-off"));
        cutOff.set(false);
        requests.startDraining();
        assertThat(requests.carryOut(request("a", 1))).isEqualTo(ForwardedReply.declined("draining"));
        assertThat(running).isNotDone();
    }

    @Test
    void aRequestThatHasNotRunIsDeclinedAndOthersKeepTheirOutcome() {
        result.complete(Optional.empty());
        assertThat(requests.carryOut(request("a", 1))).isEqualTo(ForwardedReply.declined("not-run"));
        ForwardedRequests others = ForwardedRequests.create(
                (request, remainingMillis, formerAttempts, revision, customer, presence) ->
                        Optional.of(RequestResult.unknown(remainingMillis + "/" + formerAttempts)),
                cutOff::get,
                leavingServers);
        assertThat(others.carryOut(request("a", 1))).isEqualTo(ForwardedReply.unknown("900/2"));
    }

    @Test
    void theRevisionThatThePeerNamesReachesTheHandler() {
        ForwardedRequests others = ForwardedRequests.create(
                (request, remainingMillis, formerAttempts, revision, customer, presence) ->
                        Optional.of(RequestResult.unknown(revision.toString())),
                cutOff::get,
                leavingServers);
        assertThat(others.carryOut(request("a", 1))).isEqualTo(ForwardedReply.unknown("OptionalLong.empty"));
        assertThat(others.carryOut(request("a", 1).setConfigurationRevision(7)))
                .isEqualTo(ForwardedReply.unknown("OptionalLong[7]"));
    }

    @Test
    void bodiesThatTakeTooMuchMemoryAreDeclined() {
        assertThat(requests.carryOut(request("a", MAXIMUM_BODY_BYTES + 1))).isEqualTo(ForwardedReply.declined("busy"));
        result.complete(Optional.of(RequestResult.unknown("timeout")));
        assertThat(requests.carryOut(request("a", MAXIMUM_BODY_BYTES))).isEqualTo(ForwardedReply.unknown("timeout"));
    }

    @Test
    void aRunningRequestKeepsAStoppingProxyBusyAndEndsWhenItsCallerLeaves() throws Exception {
        CompletableFuture<ForwardedReply> reply =
                CompletableFuture.supplyAsync(() -> requests.carryOut(request("a", 1)));
        CallerPresence presence = running.get(5, TimeUnit.SECONDS);
        requests.startDraining();
        assertThat(requests.isBusy()).isTrue();
        requests.cancel("another");
        assertThat(presence.isGone()).isFalse();
        requests.cancel("a");
        assertThat(presence.isGone()).isTrue();
        result.complete(Optional.of(RequestResult.unknown("cancelled")));
        assertThat(reply.get(5, TimeUnit.SECONDS)).isEqualTo(ForwardedReply.unknown("cancelled"));
        assertThat(requests.isBusy()).isFalse();
    }

    @Test
    void whichServersAreLeavingIsLearnedFromThePeerAndToldWithTheResponse() {
        ServerStart toldByPeer = new ServerStart("told", 3);
        ServerStart unlisted = new ServerStart("gone", 1);
        ServerStart unknownStart = new ServerStart("told", 0);
        fleet.install(InstanceList.of(
                1,
                List.of(new Instance(
                        "told",
                        InstanceRole.BACKEND,
                        "127.0.0.1:80",
                        "region",
                        "domain",
                        InstanceState.LIVE,
                        Map.of(),
                        1,
                        3))));
        result.complete(Optional.of(RequestResult.delivered(
                new ResponseReceived(200, Map.of(), new byte[0], ServerNotice.none(), false, ""))));
        ForwardedRequest message = request("a", 1)
                .setLeavingServers(PeerMessageConverter.toStartedServers(List.of(toldByPeer, unlisted, unknownStart)));
        assertThat(PeerMessageConverter.leavingServers(requests.carryOut(message)))
                .containsExactly(toldByPeer);
        assertThat(leavingServers.isLeaving("told", 3)).isTrue();
    }

    private static ForwardedRequest request(String id, int bodyBytes) {
        return new ForwardedRequest(
                id,
                "POST",
                "/orders",
                Map.of("host", List.of("shop")),
                ByteBuffer.allocate(bodyBytes),
                "10.0.0.9",
                900,
                2);
    }
}
