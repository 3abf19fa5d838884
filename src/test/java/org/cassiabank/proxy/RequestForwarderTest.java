package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.membership.ServerStart;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.ForwardedRequest;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.RecordedAnswer;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a request that runs twice because it is passed on to two peers, and against one that nobody carries
 * out although a peer could.
 */
@Timeout(30)
class RequestForwarderTest {
    private static final Instance SELF = proxy("self", 1);
    private static final CallerRequest REQUEST =
            new CallerRequest("POST", "/orders?x=1", Map.of("host", List.of("shop")), new byte[] {7}, "10.0.0.9");

    private final FleetState fleet = FleetState.create("region");
    private final KnownLeavingServers leavingServers = KnownLeavingServers.create(fleet, ProxyMetrics.create());
    private final List<PeerServer> servers = new ArrayList<>();
    private final List<Instance> peers = new ArrayList<>(List.of(SELF));
    private final List<ForwardedRequest> received = new CopyOnWriteArrayList<>();
    private final List<String> cancelled = new CopyOnWriteArrayList<>();
    private final CallerPresence presence = CallerPresence.create();

    @AfterEach
    void stopPeers() {
        servers.forEach(PeerServer::close);
    }

    @Test
    void theNextPeerIsAskedWhenOneDeclinesOrIsDownOrDoesNotKnowTheCall() {
        startPeer(request -> ForwardedReply.declined("cut-off"));
        startPeer(request -> {
            throw new TApplicationException(TApplicationException.UNKNOWN_METHOD, "a former release");
        });
        peers.add(proxy("down", FreePorts.nextPort()));
        startPeer(request -> ForwardedReply.answer(new RecordedAnswer(200, Map.of(), ByteBuffer.wrap(new byte[] {1}))));
        for (int round = 0; round < 6; round++) {
            assertThat(forward(false, 5_000)).get().isInstanceOf(RequestResult.Delivered.class);
        }
        ForwardedRequest message = received.getFirst();
        assertThat(message.getTarget()).isEqualTo("/orders?x=1");
        assertThat(message.getBody()).containsExactly(7);
        assertThat(message.getHeaders()).containsEntry("host", List.of("shop"));
        assertThat(message.getRemainingMillis()).isBetween(4_000L, 5_000L);
        assertThat(message.getAttempts()).isEqualTo(2);
    }

    /** A peer with an older configuration carried out requests by it, after callers had seen the newer one. */
    @Test
    void theConfigurationByWhichARequestIsToBeHandledIsNamed() {
        fleet.apply(
                List.of(new Change(1, "first", List.of(new PutEdit(new ServiceDeclaration("desk", 1, 0, 1_000), 0)))));
        startPeer(request -> ForwardedReply.unknown("timeout"));
        forward(false, 2_000);
        assertThat(received.getFirst().getConfigurationRevision()).isEqualTo(1);
    }

    @Test
    void anUnrepeatableRequestWhosePeerDoesNotReplyIsNotPassedOnAgain() {
        startPeer(request -> {
            throw new IllegalStateException("the peer fails after it has begun");
        });
        startPeer(request -> {
            throw new IllegalStateException("the peer fails after it has begun");
        });
        assertThat(forward(false, 2_000)).contains(RequestResult.unknown("peer-lost"));
        assertThat(received).hasSize(1);
    }

    @Test
    void aRepeatableRequestWhosePeerDoesNotReplyIsPassedOnAgain() {
        startPeer(request -> {
            throw new IllegalStateException("the peer fails after it has begun");
        });
        startPeer(request -> ForwardedReply.unknown("timeout"));
        assertThat(forward(true, 2_000)).contains(RequestResult.unknown("timeout"));
    }

    @Test
    void withoutAPeerThatTakesItTheRequestHasNoResult() {
        startPeer(request -> ForwardedReply.declined("cut-off"));
        RequestForwarder.ForwardingResult notRun = new RequestForwarder.ForwardingResult(Optional.empty(), false);
        assertThat(forwardTo(false, 2_000)).isEqualTo(notRun);
        assertThat(forwardTo(false, 0)).isEqualTo(notRun);
    }

    @Test
    void aRequestWhoseCallerLeavesIsCancelledAtThePeer() throws Exception {
        CountDownLatch cancelledLatch = new CountDownLatch(1);
        startPeer(request -> {
            awaitLatch(cancelledLatch);
            return ForwardedReply.unknown("cancelled");
        });
        CompletableFuture<Optional<RequestResult>> result = CompletableFuture.supplyAsync(() -> forward(true, 20_000));
        while (received.isEmpty()) {
            Thread.onSpinWait();
        }
        presence.markGone();
        while (cancelled.isEmpty()) {
            Thread.onSpinWait();
        }
        assertThat(cancelled).containsExactly(received.getFirst().getId());
        cancelledLatch.countDown();
        assertThat(result.get(5, TimeUnit.SECONDS)).contains(RequestResult.unknown("cancelled"));
    }

    @Test
    void aRepeatableRequestThatNoPeerRepliedToMayHaveRun() {
        startPeer(request -> {
            throw new IllegalStateException("the peer fails after it has begun");
        });
        startPeer(request -> ForwardedReply.declined("cut-off"));
        assertThat(forwardTo(true, 2_000)).isEqualTo(new RequestForwarder.ForwardingResult(Optional.empty(), true));
    }

    @Test
    void whichServersAreLeavingIsToldToThePeerAndLearnedFromItsReply() {
        ServerStart known = new ServerStart("known", 1);
        ServerStart told = new ServerStart("told", 2);
        leavingServers.record(known, "test");
        leavingServers.record(new ServerStart("gone", 1), "test");
        peers.add(new Instance(
                "known", InstanceRole.BACKEND, "127.0.0.1:80", "region", "domain", InstanceState.LIVE, Map.of(), 1, 1));
        RecordedAnswer answer = new RecordedAnswer(200, Map.of(), ByteBuffer.wrap(new byte[] {1}));
        answer.setLeavingServers(PeerMessageConverter.toStartedServers(List.of(told)));
        startPeer(request -> ForwardedReply.answer(answer));
        forward(false, 2_000);
        assertThat(PeerMessageConverter.toServerStarts(received.getFirst().getLeavingServers()))
                .containsExactly(known);
        assertThat(leavingServers.isLeaving("told", 2)).isTrue();
    }

    private Optional<RequestResult> forward(boolean repeatable, long remainingMillis) {
        return forwardTo(repeatable, remainingMillis).result();
    }

    private RequestForwarder.ForwardingResult forwardTo(boolean repeatable, long remainingMillis) {
        fleet.install(InstanceList.of(fleet.view().instances().index() + 1, peers));
        PeerTransport transport = PeerTransport.create(
                SELF.name(), PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        return RequestForwarder.create(SELF, fleet, transport, leavingServers, ProxyMetrics.create())
                .forward(
                        () -> Optional.of(new CheckedRequest(REQUEST, new CallerIdentity.Unchecked())),
                        repeatable,
                        2,
                        MonotonicClock.millis() + remainingMillis,
                        presence,
                        RequestTrace.start("id"));
    }

    private void startPeer(PeerBehaviour behaviour) {
        int port = FreePorts.nextPort();
        Peer.Iface handler = (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(), new Class<?>[] {Peer.Iface.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("cancelForwarded")) {
                        cancelled.add((String) arguments[0]);
                        return null;
                    }
                    received.add((ForwardedRequest) arguments[0]);
                    return behaviour.reply((ForwardedRequest) arguments[0]);
                });
        servers.add(PeerServer.start("127.0.0.1", port, PeerSocketFactories.plain(), handler));
        peers.add(proxy("peer-" + port, port));
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static Instance proxy(String name, int port) {
        return Instance.of(name, InstanceRole.PROXY, "127.0.0.1:" + port, "region", "domain", InstanceState.LIVE);
    }

    private interface PeerBehaviour {
        ForwardedReply reply(ForwardedRequest request) throws TException;
    }
}
