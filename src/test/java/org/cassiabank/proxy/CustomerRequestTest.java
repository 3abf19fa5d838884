package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import java.util.logging.StreamHandler;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.cassiabank.backend.ScriptedServer;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.CustomerDeclaration;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.RequestLimits;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.ForwardedRequest;
import org.cassiabank.peer.generated.RecordedAnswer;
import org.cassiabank.peer.generated.SlotQueued;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.source.VersionedConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests that run without a key of a customer or after it was withdrawn, and against keys that reach
 * servers, peers or log lines.
 */
@Timeout(30)
class CustomerRequestTest {
    private static final String KEY = "secret-of-north";
    private final EntryFixture entry = new EntryFixture();
    private final FleetState fleet = entry.fleet;
    private final List<SlotRequest> slotRequests = entry.slotRequests;
    private final List<ForwardedRequest> forwardedRequests = new CopyOnWriteArrayList<>();
    private final List<String> forwardingCalls = new CopyOnWriteArrayList<>();
    private final List<ScriptedServer.ReceivedRequest> serverRequests = new CopyOnWriteArrayList<>();
    /** Runs when the owner of the shard is asked for a slot, before it replies. */
    private volatile Runnable beforeSlotReply = () -> {};

    private volatile boolean queuesRequests;
    private volatile boolean peersKnowCustomers = true;
    private volatile int serverStatus = 200;

    @BeforeEach
    void startPeerAndServer() throws IOException {
        entry.startPeer(this::peerReply);
        entry.startServer((request, socket) -> {
            serverRequests.add(request);
            ScriptedServer.write(
                    socket,
                    "HTTP/1.1 " + serverStatus + " Text\r\nRequest-Id: " + request.header("Request-Id")
                            + "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok");
        });
    }

    @AfterEach
    void closeAll() throws Exception {
        entry.close();
    }

    @Test
    void withoutAConfigurationTheReplyIs503AndAnUnknownRouteIs404WhateverTheKey() {
        assertThat(send("/desk/a", Map.of()).status()).isEqualTo(503);
        configure(1, customer("north", KEY));
        assertThat(send("/elsewhere", Map.of()).status()).isEqualTo(404);
    }

    @Test
    void aMissingOrUnknownOrRepeatedKeyIsRefusedAtOnce() {
        configure(1, customer("north", KEY));
        for (List<String> keys : List.of(List.<String>of(), List.of("other"), List.of(KEY, KEY), List.of(" "))) {
            CallerReply reply = send("/desk/a", keys.isEmpty() ? Map.of() : Map.of("credential", keys));
            assertThat(reply.status()).isEqualTo(401);
            assertThat(reply.firstHeader(CallerReply.REASON_HEADER)).isEqualTo("unknown-key");
            assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("not-run");
            assertThat(reply.headers()).doesNotContainKey("Retry-After");
        }
        assertThat(slotRequests).isEmpty();
        assertThat(entry.metrics.toText())
                .contains(
                        "cassiabank_customer_checks_total{result=\"missing-key\"} 3.0",
                        "cassiabank_customer_checks_total{result=\"unknown-key\"} 1.0");
    }

    /** A caller could name the headers of the proxy in Connection to have them removed. */
    @Test
    void theServerReceivesTheCustomerInsteadOfTheKey() {
        configure(1, customer("north", KEY));
        Map<String, List<String>> headers =
                Map.of("credential", List.of(KEY), "tenant", List.of("other"), "connection", List.of("tenant"));
        assertThat(send("/desk/a", headers).status()).isEqualTo(200);
        assertThat(serverRequests.getFirst().header("Tenant")).isEqualTo("north");
        assertThat(serverRequests.getFirst().head()).doesNotContainIgnoringCase("credential");
        assertThat(slotRequests.getFirst().getCaller()).isEqualTo("north");
        assertThat(slotRequests.getFirst().getUrgency()).isEqualTo(5 * 1_001 + 2);
        assertThat(slotRequests.toString()).doesNotContain(KEY, CustomerDeclaration.keyDigest(KEY));
    }

    @Test
    void anAnonymousSelectorIdentifiesAKnownKeyAndRemovesAStatedCustomer() {
        configure(1, customer("north", KEY));
        assertThat(send("/open", Map.of("credential", List.of(KEY))).status()).isEqualTo(200);
        assertThat(serverRequests.getFirst().header("Tenant")).isEqualTo("north");
        Map<String, List<String>> stated = Map.of(
                "credential", List.of("other"), "tenant", List.of("north"), "cassiabank-caller", List.of("north"));
        assertThat(send("/open", stated).status()).isEqualTo(200);
        assertThat(serverRequests.get(1).head()).doesNotContainIgnoringCase("tenant:", "credential:");
        assertThat(slotRequests.get(1).getCaller()).isEqualTo("*");
        assertThat(slotRequests.get(1).getUrgency())
                .as("no more urgent than with a key")
                .isEqualTo(5 * 1_001 + 2);
    }

    @Test
    void withoutCustomersInTheConfigurationHeadersPassUnchanged() {
        configure(1);
        Map<String, List<String>> headers = Map.of("credential", List.of("any"), "tenant", List.of("other"));
        assertThat(send("/desk/a", headers).status()).isEqualTo(200);
        assertThat(serverRequests.getFirst().header("Credential")).isEqualTo("any");
        assertThat(serverRequests.getFirst().header("Tenant")).isEqualTo("other");
        assertThat(slotRequests.getFirst().getUrgency()).isEqualTo(2);
    }

    @Test
    void aKeyWithdrawnWhileTheRequestWaitsIsRefusedBeforeAndAfterTheSlotIsGranted() {
        for (long revision : new long[] {1, 3}) {
            configure(revision, customer("north", KEY));
            queuesRequests = revision == 1;
            beforeSlotReply = () -> configure(revision + 1, customer("north", "next-key"));
            CallerReply reply = send("/desk/a", Map.of("credential", List.of(KEY)));
            assertThat(reply.status()).isEqualTo(401);
            assertThat(reply.headers()).doesNotContainKey("Retry-After");
        }
        assertThat(serverRequests).isEmpty();
    }

    @Test
    void aWithdrawnKeyEndsFurtherAttemptsButTheResponseOfAnAttemptIsDelivered() {
        configure(1, customer("north", KEY));
        serverStatus = 500;
        beforeSlotReply = () -> {
            if (slotRequests.size() == 2) {
                configure(2, customer("north", "next-key"));
            }
        };
        CallerRequest read = request("GET", "/desk/a", Map.of("credential", List.of(KEY)));
        CallerReply reply = entry.handler.handle(read, CallerPresence.create());
        assertThat(reply.status()).isEqualTo(500);
        assertThat(slotRequests).hasSize(2);
        assertThat(serverRequests).hasSize(1);
    }

    @Test
    void aKeyThatMovesToAnotherCustomerCountsForThatOne() {
        configure(1, customer("north", KEY));
        beforeSlotReply = () -> configure(2, customer("north"), customer("south", KEY));
        assertThat(send("/desk/a", Map.of("credential", List.of(KEY))).status()).isEqualTo(200);
        assertThat(serverRequests.getFirst().header("Tenant")).isEqualTo("south");
    }

    @Test
    void aRequestFromBeforeTheFirstCustomerIsCheckedBeforeItRuns() {
        configure(1);
        beforeSlotReply = () -> {
            if (fleet.revision() == 1) {
                configure(2, customer("north", KEY));
            }
        };
        assertThat(send("/desk/a", Map.of("credential", List.of(KEY))).status()).isEqualTo(200);
        assertThat(serverRequests.getFirst().header("Tenant")).isEqualTo("north");
        assertThat(serverRequests.getFirst().head()).doesNotContainIgnoringCase("credential");
        assertThat(send("/desk/a", Map.of()).status()).isEqualTo(401);
    }

    /** A peer of the former release does not check customers, so it must not run the request. */
    @Test
    void peersReceiveTheCustomerInsteadOfTheKeyAndThoseOfTheFormerReleaseDecline() throws IOException {
        configure(1, customer("north", KEY));
        entry.listUnreachableServers();
        Map<String, List<String>> headers = Map.of("credential", List.of(KEY), "tenant", List.of("other"));
        peersKnowCustomers = false;
        assertThat(send("/desk/a", headers).firstHeader(CallerReply.OUTCOME_HEADER))
                .isEqualTo("not-run");
        peersKnowCustomers = true;
        assertThat(send("/desk/a", headers).status()).isEqualTo(200);
        assertThat(forwardingCalls).containsOnly("forwardForCustomer");
        assertThat(forwardedRequests.getFirst().getCustomer()).isEqualTo("north");
        assertThat(forwardedRequests.getFirst().getConfigurationRevision()).isEqualTo(1);
        assertThat(forwardedRequests.toString()).doesNotContainIgnoringCase(KEY, "credential", "tenant");
        forwardingCalls.clear();
        assertThat(send("/open", Map.of("credential", List.of("other"), "tenant", List.of("north")))
                        .status())
                .isEqualTo(200);
        assertThat(forwardingCalls).containsOnly("forward");
        assertThat(forwardedRequests.getLast().isSetCustomer()).isFalse();
        assertThat(forwardedRequests.toString()).doesNotContainIgnoringCase("credential", "tenant");
    }

    @Test
    void aRequestOfAPeerIsCarriedOutOnlyForACustomerThatIsDeclaredInTheSameRevision() {
        configure(4, customer("north", KEY));
        assertThat(runForwarded("/desk/a", 4, Optional.of("south"))).isEmpty();
        assertThat(runForwarded("/desk/a", 3, Optional.of("north"))).isEmpty();
        assertThat(runForwarded("/desk/a", 4, Optional.empty())).isEmpty();
        beforeSlotReply = () -> configure(5, customer("north", "next-key"));
        assertThat(runForwarded("/desk/a", 4, Optional.of("north")))
                .as("a change of the customer's keys while the request waits")
                .isEmpty();
        assertThat(serverRequests).isEmpty();
        beforeSlotReply = () -> {};
        assertThat(runForwarded("/desk/a", 5, Optional.of("north"))).isPresent();
        assertThat(serverRequests.getFirst().header("Tenant")).isEqualTo("north");
        assertThat(runForwarded("/open", 5, Optional.empty())).isPresent();
        assertThat(serverRequests.get(1).head()).doesNotContainIgnoringCase("tenant", "credential");
    }

    @Test
    void noLogLineShowsAKey() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Handler recorder = new StreamHandler(output, new SimpleFormatter());
        Logger logger = Logger.getLogger("org.cassiabank");
        logger.addHandler(recorder);
        try {
            configure(1, customer("north", KEY));
            send("/desk/a", Map.of("credential", List.of(KEY)));
            send("/desk/a", Map.of("credential", List.of(KEY + "\u0001")));
            send("/open", Map.of("credential", List.of(KEY + "\u0001")));
            send("/open", Map.of("credential", List.of(KEY), "tenant", List.of("a\u0001")));
        } finally {
            logger.removeHandler(recorder);
            recorder.flush();
        }
        assertThat(output.toString(StandardCharsets.UTF_8))
                .contains("status=401", "status=200")
                .doesNotContain(KEY, CustomerDeclaration.keyDigest(KEY));
    }

    private CallerReply send(String path, Map<String, List<String>> headers) {
        return entry.handler.handle(request("POST", path, headers), CallerPresence.create());
    }

    private Optional<RequestResult> runForwarded(String path, long revision, Optional<String> customer) {
        // A peer of a former release leaves the headers of its caller in place.
        Map<String, List<String>> headers = Map.of("credential", List.of("other"), "tenant", List.of("other"));
        return entry.handler.runForwarded(
                request("POST", path, headers), 3_000, 0, OptionalLong.of(revision), customer, CallerPresence.create());
    }

    private static CallerRequest request(String method, String path, Map<String, List<String>> headers) {
        Map<String, List<String>> allHeaders = new HashMap<>(headers);
        allHeaders.put("request-id", List.of("id"));
        allHeaders.put("deadline-ms", List.of("3000"));
        return new CallerRequest(method, path, allHeaders, new byte[0], "10.0.0.9");
    }

    private void configure(long revision, CustomerDeclaration... customers) {
        List<Declaration> declarations = new ArrayList<>(List.of(customers));
        declarations.add(new ServiceDeclaration("desk", 2, 0, 1_000));
        declarations.add(selector("orders", "POST", "/desk", false));
        declarations.add(selector("reads", "GET", "/desk", false));
        declarations.add(selector("open", "POST", "/open", true));
        fleet.install(new VersionedConfiguration(revision, declarations));
    }

    private static CustomerDeclaration customer(String name, String... keys) {
        return CustomerDeclaration.ofKeys(name, List.of(keys), OptionalInt.of(5), 0, 0);
    }

    private static Selector selector(String name, String method, String path, boolean anonymous) {
        boolean repeatable = method.equals("GET");
        return new Selector(
                name,
                "desk",
                Set.of(method),
                path,
                "*",
                Map.of(),
                1,
                repeatable,
                CostHint.LEARNED,
                0,
                "",
                anonymous,
                new RequestLimits(0, 0, 3, 2));
    }

    private Object peerReply(String call, Object argument) throws TException {
        if (call.equals("acquire")) {
            beforeSlotReply.run();
            return queuesRequests ? SlotReply.queued(new SlotQueued(1)) : null;
        }
        if (!call.startsWith("forward")) {
            return null;
        }
        forwardingCalls.add(call);
        forwardedRequests.add((ForwardedRequest) argument);
        if (call.equals("forwardForCustomer") && !peersKnowCustomers) {
            throw new TApplicationException(TApplicationException.UNKNOWN_METHOD, "a former release");
        }
        return ForwardedReply.answer(
                new RecordedAnswer(200, Map.of("Response-Seal", List.of("s")), ByteBuffer.wrap(new byte[] {1})));
    }
}
