package org.cassiabank.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.Call;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.cassiabank.load.AdminClient;
import org.cassiabank.load.ChildProcess;
import org.cassiabank.load.FreePorts;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a stand-in whose faults, execution record or drain differ from what tests of the proxies rely on.
 * These would pass although the fault is missing, or fail although the proxies are correct.
 */
@Timeout(60)
class BackendFaultsTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    @TempDir
    private static Path directory;

    private static ChildProcess sharedServer;
    private static String sharedServerUrl;

    private final OkHttpClient client = new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(Duration.ofSeconds(10))
            .build();
    private final AdminClient adminClient = AdminClient.create(5_000);
    private final String keyPrefix = "test-" + System.nanoTime() + "-";
    private Optional<ChildProcess> ownServer = Optional.empty();
    private String serverUrl;

    @BeforeAll
    static void startSharedServer() {
        sharedServerUrl = "http://" + FreePorts.nextLoopbackAddress();
        sharedServer = startServer(sharedServerUrl, "--slots", "2");
    }

    @AfterAll
    static void stopSharedServer() {
        sharedServer.close();
    }

    @BeforeEach
    void useSharedServer() {
        serverUrl = sharedServerUrl;
        setFaults("{}");
    }

    @AfterEach
    void stopOwnServer() {
        client.dispatcher().cancelAll();
        ownServer.ifPresent(ChildProcess::close);
        // A request that still runs after its test would occupy a slot in the next test.
        await(() -> ownServer.isPresent()
                || adminClient.getJson(serverUrl + "/load").path("running").asInt() == 0);
        client.connectionPool().evictAll();
    }

    @Test
    void responsesRepeatTheRequestIdAndTheToken() throws IOException {
        try (Response response =
                client.newCall(request("/menu?token=t1&work-millis=1")).execute()) {
            assertThat(response.header("Cassiabank-Request-Id")).isEqualTo("r1");
            assertThat(response.body().string())
                    .startsWith("token=" + keyPrefix + "t1\n")
                    .endsWith("\nend=" + keyPrefix + "t1\n");
        }
        assertThat(executionCounts("t1").get("started").asInt()).isEqualTo(1);
        assertThat(executionCounts("t1").get("finished").asInt()).isEqualTo(1);
    }

    @Test
    void executionsAreRecordedUnderTheIdempotencyKey() throws IOException {
        Request order = new Request.Builder()
                .url(serverUrl + "/order?work-millis=1")
                .header("Idempotency-Key", keyPrefix + "k1")
                .post(RequestBody.create(new byte[100]))
                .build();
        assertThat(statusOf(order)).isEqualTo(200);
        assertThat(executionCounts("k1").get("started").asInt()).isEqualTo(1);
    }

    @Test
    void requestsBeyondTheSlotsAreShedAndNotRecordedAsStarted() throws IOException {
        List<CompletableFuture<Integer>> running = List.of(
                sendInBackground("/menu?token=a&work-millis=60000"),
                sendInBackground("/menu?token=b&work-millis=60000"));
        awaitStarted("a");
        awaitStarted("b");
        try (Response response =
                client.newCall(request("/menu?token=c&work-millis=1")).execute()) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Cassiabank-Not-Run")).isEqualTo("true");
        }
        assertThat(executionCounts("c").isMissingNode()).isTrue();
        client.dispatcher().cancelAll();
        assertThat(running).allSatisfy(call -> assertThat(call.join()).isZero());
    }

    @Test
    void workOfAClosedConnectionIsCancelled() throws IOException {
        sendInBackground("/menu?token=a&work-millis=60000");
        awaitStarted("a");
        int cancelledBefore = cancelledRequests();
        client.dispatcher().cancelAll();
        await(() -> cancelledRequests() == cancelledBefore + 1);
        assertThat(executionCounts("a").get("finished").asInt()).isZero();
    }

    @Test
    void anExpiredDeadlineShedsARequestAndADeadlineThatExpiresLaterCancelsIt() throws IOException {
        Request expired = request("/menu?token=a&work-millis=1")
                .newBuilder()
                .header("Cassiabank-Deadline-Millis", "0")
                .build();
        Request expiringLater = request("/menu?token=b&work-millis=60000")
                .newBuilder()
                .header("Cassiabank-Deadline-Millis", "20")
                .build();
        assertThat(statusOf(expired)).isEqualTo(503);
        assertThat(statusOf(expiringLater)).isEqualTo(504);
        assertThat(executionCounts("a").isMissingNode()).isTrue();
        assertThat(executionCounts("b").get("started").asInt()).isEqualTo(1);
    }

    @Test
    void failFaultRespondsWithStatus500AfterRunningTheRequest() throws IOException {
        setFaults("{\"fail\": 1}");
        assertThat(statusOf(request("/menu?token=a&work-millis=1"))).isEqualTo(500);
        assertThat(executionCounts("a").get("finished").asInt()).isEqualTo(1);
    }

    @Test
    void slowFaultMultipliesTheServiceTime() throws IOException {
        setFaults("{\"slow\": 1, \"slowFactor\": 20}");
        long startNanos = System.nanoTime();
        assertThat(statusOf(request("/menu?token=a&work-millis=20"))).isEqualTo(200);
        assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(400_000_000);
    }

    @Test
    void stallFaultRunsTheRequestAndNeverResponds() {
        setFaults("{\"stall\": 1}");
        Call call = client.newCall(request("/menu?token=a&work-millis=1"));
        call.timeout().timeout(500, TimeUnit.MILLISECONDS);
        assertThatThrownBy(call::execute).isInstanceOf(InterruptedIOException.class);
        assertThat(executionCounts("a").get("started").asInt()).isEqualTo(1);
        assertThat(executionCounts("a").get("finished").asInt()).isZero();
    }

    @Test
    void cutFaultClosesTheConnectionInsideTheBody() throws IOException {
        setFaults("{\"cut\": 1}");
        try (Response response =
                client.newCall(request("/menu?token=a&work-millis=1")).execute()) {
            assertThat(response.header("content-length")).isNotNull();
            assertThatThrownBy(() -> response.body().bytes()).isInstanceOf(IOException.class);
        }
    }

    @Test
    void wrongAnswerFaultChangesTheRequestIdAndTheBody() throws IOException {
        setFaults("{\"wrongAnswer\": 1}");
        try (Response response =
                client.newCall(request("/menu?token=a&work-millis=1")).execute()) {
            assertThat(response.header("Cassiabank-Request-Id")).isNotEqualTo("r1");
            assertThat(response.body().string()).doesNotContain("token=" + keyPrefix + "a\n");
        }
    }

    @Test
    void shedFaultRejectsTheRequestWithoutRunningIt() throws IOException {
        setFaults("{\"shed\": 1}");
        assertThat(statusOf(request("/menu?token=a&work-millis=1"))).isEqualTo(503);
        assertThat(executionCounts("a").isMissingNode()).isTrue();
    }

    @Test
    void severalFaultsAreActiveTogetherAndAnEmptyDocumentClearsAllOfThem() throws IOException {
        setFaults("{\"fail\": 1, \"slow\": 1, \"slowFactor\": 5}");
        long startNanos = System.nanoTime();
        assertThat(statusOf(request("/menu?token=a&work-millis=20"))).isEqualTo(500);
        assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(100_000_000);
        setFaults("{}");
        assertThat(statusOf(request("/menu?token=b&work-millis=1"))).isEqualTo(200);
    }

    @Test
    void flappingFaultsAreOffInTheSecondHalfOfEachPeriod() {
        BackendFaults faults = new BackendFaults(1, 0, 0, 0, 0, 0, 0, 1_000, false, 0, false, false);
        assertThat(faults.isOn(0)).isTrue();
        assertThat(faults.isOn(499)).isTrue();
        assertThat(faults.isOn(500)).isFalse();
        assertThat(faults.isOn(1_499)).isTrue();
        assertThat(faults.isOn(1_500)).isFalse();
    }

    @Test
    void aFlappingServerFailsAndSucceedsInTurn() throws IOException {
        setFaults("{\"fail\": 1, \"flapMillis\": 400}");
        boolean failed = false;
        boolean answered = false;
        long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        while (!(failed && answered) && System.nanoTime() < deadlineNanos) {
            int status = statusOf(request("/menu?token=a&work-millis=5"));
            failed |= status == 500;
            answered |= status == 200;
        }
        assertThat(failed && answered).isTrue();
    }

    @Test
    void healthReportsFaultsUnlessTheLieFaultIsOn() {
        setFaults("{\"fail\": 0.5}");
        assertThat(adminClient.send("GET", serverUrl + "/health", "").status()).isEqualTo(503);
        setFaults("{\"fail\": 0.5, \"lie\": true}");
        assertThat(adminClient.send("GET", serverUrl + "/health", "").status()).isEqualTo(200);
    }

    @Test
    void silenceFaultMutesOpenConnectionsForGoodWhileNewConnectionsWork() throws IOException {
        assertThat(statusOf(request("/menu?token=a&work-millis=1"))).isEqualTo(200);
        setFaults("{\"silence\": true}");
        Call callOnOpenConnection = client.newCall(request("/menu?token=b&work-millis=1"));
        callOnOpenConnection.timeout().timeout(500, TimeUnit.MILLISECONDS);
        assertThatThrownBy(callOnOpenConnection::execute).isInstanceOf(InterruptedIOException.class);
        assertThat(executionCounts("b").isMissingNode()).isTrue();
        client.connectionPool().evictAll();
        assertThat(statusOf(request("/menu?token=c&work-millis=1"))).isEqualTo(200);
    }

    @Test
    void unknownFaultNamesAndSharesAboveOneAreRejected() {
        assertThat(adminClient
                        .send("POST", serverUrl + "/control/faults", "{\"fial\": 1}")
                        .status())
                .isEqualTo(400);
        assertThat(adminClient
                        .send("POST", serverUrl + "/control/faults", "{\"fail\": 2}")
                        .status())
                .isEqualTo(400);
    }

    @Test
    void aColdServerIsSlowerForItsFirstRequests() throws IOException {
        startOwnServer("--cold-requests", "1", "--cold-factor", "30");
        long startNanos = System.nanoTime();
        assertThat(statusOf(request("/menu?token=a&work-millis=20"))).isEqualTo(200);
        long firstNanos = System.nanoTime() - startNanos;
        assertThat(firstNanos).isGreaterThanOrEqualTo(600_000_000);
        startNanos = System.nanoTime();
        assertThat(statusOf(request("/menu?token=b&work-millis=20"))).isEqualTo(200);
        assertThat(System.nanoTime() - startNanos).isLessThan(firstNanos);
    }

    @Test
    void connectionsBeyondTheLimitAreClosed() throws IOException {
        startOwnServer("--connections", "2");
        sendInBackgroundUntilStarted("/menu?token=a&work-millis=60000", "a");
        // An answered request leaves its connection open in the pool of the client, so the limit is reached then.
        await(() -> isAnswered("/menu?token=b&work-millis=1"));
        assertThat(adminClient.send("GET", serverUrl + "/health", "").status()).isZero();
        client.connectionPool().evictAll();
        await(() -> adminClient.send("GET", serverUrl + "/health", "").status() == 200);
        client.dispatcher().cancelAll();
    }

    @Test
    void drainFinishesRunningRequestsShedsNewOnesAndExitsWithZero() throws Exception {
        startOwnServer("--linger-millis", "0");
        CompletableFuture<Integer> running = sendInBackground("/menu?token=a&work-millis=1500");
        awaitStarted("a");
        assertThat(adminClient.send("POST", serverUrl + "/control/drain", "").status())
                .isEqualTo(200);
        try (Response response =
                client.newCall(request("/menu?token=b&work-millis=1")).execute()) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Cassiabank-Leaving")).isEqualTo("true");
        }
        assertThat(running.join()).isEqualTo(200);
        assertThat(ownServer.orElseThrow().awaitExit(TIMEOUT_MILLIS)).isZero();
    }

    @Test
    void sigtermFinishesRunningRequestsAndExitsWithZero() throws Exception {
        startOwnServer("--linger-millis", "0");
        CompletableFuture<Integer> running = sendInBackground("/menu?token=a&work-millis=1500");
        awaitStarted("a");
        ownServer.orElseThrow().sendSignal("TERM");
        assertThat(running.join()).isEqualTo(200);
        assertThat(ownServer.orElseThrow().awaitExit(TIMEOUT_MILLIS)).isZero();
    }

    private void startOwnServer(String... options) {
        serverUrl = "http://" + FreePorts.nextLoopbackAddress();
        ownServer = Optional.of(startServer(serverUrl, options));
    }

    private static ChildProcess startServer(String url, String... options) {
        List<String> arguments =
                new ArrayList<>(List.of("--address", url.substring("http://".length()), "--name", "server-1"));
        arguments.addAll(List.of(options));
        ChildProcess process = ChildProcess.start(
                "server-1",
                "org.cassiabank.standin.BackendMain",
                List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"),
                arguments,
                directory.resolve("server.log"));
        AdminClient health = AdminClient.create(5_000);
        await(() -> health.send("GET", url + "/health", "").status() == 200);
        return process;
    }

    private void setFaults(String json) {
        assertThat(adminClient.send("POST", serverUrl + "/control/faults", json).status())
                .isEqualTo(200);
    }

    private Request request(String path) {
        return new Request.Builder()
                .url(serverUrl + path.replace("token=", "token=" + keyPrefix))
                .header("Cassiabank-Request-Id", "r1")
                .build();
    }

    private int statusOf(Request request) throws IOException {
        try (Response response = client.newCall(request).execute()) {
            response.body().bytes();
            return response.code();
        }
    }

    private CompletableFuture<Integer> sendInBackground(String path) {
        CompletableFuture<Integer> result = new CompletableFuture<>();
        client.newCall(request(path)).enqueue(new okhttp3.Callback() {
            @Override
            public void onFailure(Call call, IOException exception) {
                result.complete(0);
            }

            @Override
            public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                    response.body().bytes();
                    result.complete(response.code());
                }
            }
        });
        return result;
    }

    private JsonNode executionCounts(String key) {
        return adminClient
                .getJson(serverUrl + "/control/record")
                .path("executions")
                .path(keyPrefix + key);
    }

    /** Sends a request until it runs; a connection that was just closed may still count towards the limit. */
    private void sendInBackgroundUntilStarted(String path, String key) {
        AtomicReference<CompletableFuture<Integer>> request = new AtomicReference<>(sendInBackground(path));
        await(() -> {
            if (request.get().isDone()) {
                request.set(sendInBackground(path));
            }
            return executionCounts(key).path("started").asInt() >= 1;
        });
    }

    private void awaitStarted(String key) {
        await(() -> executionCounts(key).path("started").asInt() >= 1);
    }

    private int cancelledRequests() {
        return adminClient
                .getJson(serverUrl + "/control/record?summary=true")
                .path("cancelled")
                .asInt();
    }

    private boolean isAnswered(String path) {
        try {
            return statusOf(request(path)) == 200;
        } catch (IOException expected) {
            // The connection of the previous attempt may still count towards the limit.
            return false;
        }
    }

    private static void await(java.util.function.BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("the condition holds in time").isLessThan(deadlineNanos);
            Thread.onSpinWait();
        }
    }
}
