package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;
import org.cassiabank.backend.ScriptedServer;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.RecordedAnswer;
import org.cassiabank.peer.generated.SlotRefusal;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against false promises in the replies to requests that a daemon without a path to the servers passes on: its
 * peers may run a release that knows nothing of them.
 */
@Timeout(30)
class PassedOnResponseTest {
    private final EntryFixture entry = new EntryFixture();

    @BeforeEach
    void configure() {
        entry.listUnreachableServers();
        entry.fleet.apply(List.of(new Change(
                1,
                "first",
                List.of(
                        new PutEdit(new ServiceDeclaration("desk", 2, 0, 1_000), 0),
                        new PutEdit(selector("orders", "POST", false), 0),
                        new PutEdit(selector("reads", "GET", true), 0)))));
    }

    @AfterEach
    void closeAll() throws Exception {
        entry.close();
    }

    @Test
    void aPeersResponseWithAStatusThatPromisesTooMuchIsNotPassedOnToTheCallerOfAnOrder() {
        startPeer(() -> ForwardedReply.answer(
                new RecordedAnswer(503, Map.of("Response-Seal", List.of("s")), ByteBuffer.wrap(new byte[] {1}))));
        CallerReply reply = send("POST");
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
        assertThat(reply.headers()).doesNotContainKey("Response-Seal");
        assertThat(send("GET").status()).as("a request that may run again").isEqualTo(503);
    }

    /** The caller got a reply with the status 0 as the response of a server. */
    @Test
    void aPeersResponseWithAnInvalidStatusReachesNoCaller() {
        startPeer(() -> ForwardedReply.answer(
                new RecordedAnswer(0, Map.of("Response-Seal", List.of("s")), ByteBuffer.wrap(new byte[] {1}))));
        for (String method : List.of("POST", "GET")) {
            CallerReply reply = send(method);
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
            assertThat(reply.headers()).doesNotContainKey("Response-Seal");
        }
    }

    @Test
    void aPeersRefusalIsPassedOnIfNothingElseMayHaveRunTheRequest() {
        startPeer(() -> ForwardedReply.notRun(new SlotRefusal("no-healthy-server", 300)));
        assertThat(send("POST").firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("not-run");
        assertThat(send("GET").firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("not-run");
    }

    /** The refusal of one peer counted for all, so that a request which may have run was reported as not run. */
    @Test
    void aPeersRefusalIsNoProofBesideAPeerThatDidNotReply() {
        AtomicInteger asked = new AtomicInteger();
        PeerReply breaksFirst = () -> {
            if (asked.incrementAndGet() == 1) {
                throw new IllegalStateException("the peer fails after it has begun");
            }
            return ForwardedReply.notRun(new SlotRefusal("no-healthy-server", 300));
        };
        startPeer(breaksFirst);
        startPeer(breaksFirst);
        CallerReply reply = send("GET");
        assertThat(asked).hasValue(2);
        assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
        assertThat(reply.status()).isEqualTo(504);
    }

    /** Callers saw a change of the configuration taken back, as often as a peer was asked that did not have it yet. */
    @Test
    void aRequestThatAPeerPassesOnIsCarriedOutByTheConfigurationOfThePeerOnly() throws IOException {
        entry.removeServers();
        ScriptedServer server = entry.startServer((request, socket) -> ScriptedServer.write(
                socket,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                        + "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"));
        startPeer(() -> ForwardedReply.declined("cut-off"));
        for (long otherRevision : new long[] {2, 0}) {
            assertThat(runForwarded(OptionalLong.of(otherRevision))).isEmpty();
        }
        assertThat(server.acceptedConnections).hasValue(0);
        assertThat(runForwarded(OptionalLong.of(1))).get().isInstanceOf(RequestResult.Delivered.class);
        assertThat(runForwarded(OptionalLong.empty()))
                .as("for a peer of a former release")
                .get()
                .isInstanceOf(RequestResult.Delivered.class);
    }

    private Optional<RequestResult> runForwarded(OptionalLong configurationRevision) {
        return entry.handler.runForwarded(
                request("POST"), 3_000, 0, configurationRevision, Optional.empty(), CallerPresence.create());
    }

    private CallerReply send(String method) {
        return entry.handler.handle(request(method), CallerPresence.create());
    }

    private static CallerRequest request(String method) {
        return new CallerRequest(
                method,
                "/desk/a",
                Map.of("request-id", List.of("id"), "deadline-ms", List.of("3000")),
                new byte[0],
                "10.0.0.9");
    }

    /** Starts a peer that grants slots of the listed servers, and replies to requests that are passed on. */
    private void startPeer(PeerReply peerReply) {
        entry.startPeer((call, argument) -> call.equals("forward") ? peerReply.reply() : null);
    }

    private static Selector selector(String name, String method, boolean repeatable) {
        return Selector.forAllHosts(
                name, "desk", Set.of(method), "/desk", "*", Map.of(), 1, repeatable, CostHint.LEARNED, 0);
    }

    private interface PeerReply {
        ForwardedReply reply() throws TException;
    }
}
