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

/** Guards against a stand-in whose faults, record or drain differ from what tests of the proxies rely on. */
@Timeout(60)
class BackendFaultsTest {
    private static final long WAIT_MILLIS = 20_000;

    @TempDir
    private static Path directory;

    private static ChildProcess shared;
    private static String sharedUrl;

    private final OkHttpClient client = new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(Duration.ofSeconds(10))
            .build();
    private final AdminClient adminClient = AdminClient.create(5_000);
    private final String test = "test-" + System.nanoTime() + "-";
    private Optional<ChildProcess> own = Optional.empty();
    private String url;

    @BeforeAll
    static void startSharedServer() {
        sharedUrl = "http://" + FreePorts.nextLoopbackAddress();
        shared = start(sharedUrl, "--slots", "2");
    }

    @AfterAll
    static void endSharedServer() {
        shared.close();
    }

    @BeforeEach
    void useSharedServer() {
        url = sharedUrl;
        switchFaults("{}");
    }

    @AfterEach
    void endOwnServer() {
        client.dispatcher().cancelAll();
        own.ifPresent(ChildProcess::close);
        // Work that a test left behind would take slots from the next one.
        await(() -> own.isPresent()
                || adminClient.getJson(url + "/load").path("running").asInt() == 0);
        client.connectionPool().evictAll();
    }

    @Test
    void answersRepeatTheRequestIdAndTheToken() throws IOException {
        try (Response response =
                client.newCall(request("/menu?token=t1&work-millis=1")).execute()) {
            assertThat(response.header("Cassiabank-Request-Id")).isEqualTo("r1");
            assertThat(response.body().string())
                    .startsWith("token=" + test + "t1\n")
                    .endsWith("\nend=" + test + "t1\n");
        }
        assertThat(execution("t1").get("started").asInt()).isEqualTo(1);
        assertThat(execution("t1").get("finished").asInt()).isEqualTo(1);
    }

    @Test
    void theIdempotencyKeyIsTheKeyOfTheRecord() throws IOException {
        Request order = new Request.Builder()
                .url(url + "/order?work-millis=1")
                .header("Idempotency-Key", test + "k1")
                .post(RequestBody.create(new byte[100]))
                .build();
        assertThat(status(order)).isEqualTo(200);
        assertThat(execution("k1").get("started").asInt()).isEqualTo(1);
    }

    @Test
    void requestsBeyondTheSlotsAreShedAndNotRecorded() throws IOException {
        List<CompletableFuture<Integer>> running = List.of(
                inBackground("/menu?token=a&work-millis=60000"), inBackground("/menu?token=b&work-millis=60000"));
        awaitStarted("a");
        awaitStarted("b");
        try (Response response =
                client.newCall(request("/menu?token=c&work-millis=1")).execute()) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Cassiabank-Not-Run")).isEqualTo("true");
        }
        assertThat(execution("c").isMissingNode()).isTrue();
        client.dispatcher().cancelAll();
        assertThat(running).allSatisfy(call -> assertThat(call.join()).isZero());
    }

    @Test
    void workOfAClosedConnectionIsCancelled() throws IOException {
        inBackground("/menu?token=a&work-millis=60000");
        awaitStarted("a");
        int before = cancelled();
        client.dispatcher().cancelAll();
        await(() -> cancelled() == before + 1);
        assertThat(execution("a").get("finished").asInt()).isZero();
    }

    @Test
    void anExpiredDeadlineShedsAndAPassingDeadlineEndsTheWork() throws IOException {
        Request expired = request("/menu?token=a&work-millis=1")
                .newBuilder()
                .header("Cassiabank-Deadline-Millis", "0")
                .build();
        Request passing = request("/menu?token=b&work-millis=60000")
                .newBuilder()
                .header("Cassiabank-Deadline-Millis", "20")
                .build();
        assertThat(status(expired)).isEqualTo(503);
        assertThat(status(passing)).isEqualTo(504);
        assertThat(execution("a").isMissingNode()).isTrue();
        assertThat(execution("b").get("started").asInt()).isEqualTo(1);
    }

    @Test
    void failAnswersWithAServerErrorAfterTheWork() throws IOException {
        switchFaults("{\"fail\": 1}");
        assertThat(status(request("/menu?token=a&work-millis=1"))).isEqualTo(500);
        assertThat(execution("a").get("finished").asInt()).isEqualTo(1);
    }

    @Test
    void slowLengthensTheWork() throws IOException {
        switchFaults("{\"slow\": 1, \"slowFactor\": 20}");
        long start = System.nanoTime();
        assertThat(status(request("/menu?token=a&work-millis=20"))).isEqualTo(200);
        assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(400_000_000);
    }

    @Test
    void stallRunsTheRequestAndNeverAnswers() {
        switchFaults("{\"stall\": 1}");
        Call call = client.newCall(request("/menu?token=a&work-millis=1"));
        call.timeout().timeout(500, TimeUnit.MILLISECONDS);
        assertThatThrownBy(call::execute).isInstanceOf(InterruptedIOException.class);
        assertThat(execution("a").get("started").asInt()).isEqualTo(1);
        assertThat(execution("a").get("finished").asInt()).isZero();
    }

    @Test
    void cutEndsTheConnectionInsideTheBody() throws IOException {
        switchFaults("{\"cut\": 1}");
        try (Response response =
                client.newCall(request("/menu?token=a&work-millis=1")).execute()) {
            assertThat(response.header("content-length")).isNotNull();
            assertThatThrownBy(() -> response.body().bytes()).isInstanceOf(IOException.class);
        }
    }

    @Test
    void wrongAnswerHasAnotherIdAndAnotherBody() throws IOException {
        switchFaults("{\"wrongAnswer\": 1}");
        try (Response response =
                client.newCall(request("/menu?token=a&work-millis=1")).execute()) {
            assertThat(response.header("Cassiabank-Request-Id")).isNotEqualTo("r1");
            assertThat(response.body().string()).doesNotContain("token=" + test + "a\n");
        }
    }

    @Test
    void shedFaultRefusesWithoutRunning() throws IOException {
        switchFaults("{\"shed\": 1}");
        assertThat(status(request("/menu?token=a&work-millis=1"))).isEqualTo(503);
        assertThat(execution("a").isMissingNode()).isTrue();
    }

    @Test
    void faultsCanBeOnTogetherAndAreSwitchedOffTogether() throws IOException {
        switchFaults("{\"fail\": 1, \"slow\": 1, \"slowFactor\": 5}");
        long start = System.nanoTime();
        assertThat(status(request("/menu?token=a&work-millis=20"))).isEqualTo(500);
        assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(100_000_000);
        switchFaults("{}");
        assertThat(status(request("/menu?token=b&work-millis=1"))).isEqualTo(200);
    }

    @Test
    void flapTurnsFaultsOffInTheSecondHalfOfEachPeriod() {
        BackendFaults faults = new BackendFaults(1, 0, 0, 0, 0, 0, 0, 1_000, false, false);
        assertThat(faults.isOn(0)).isTrue();
        assertThat(faults.isOn(499)).isTrue();
        assertThat(faults.isOn(500)).isFalse();
        assertThat(faults.isOn(1_499)).isTrue();
        assertThat(faults.isOn(1_500)).isFalse();
    }

    @Test
    void flappingServerFailsAndAnswersInTurn() throws IOException {
        switchFaults("{\"fail\": 1, \"flapMillis\": 400}");
        boolean failed = false;
        boolean answered = false;
        long end = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!(failed && answered) && System.nanoTime() < end) {
            int status = status(request("/menu?token=a&work-millis=5"));
            failed |= status == 500;
            answered |= status == 200;
        }
        assertThat(failed && answered).isTrue();
    }

    @Test
    void healthTellsOfFaultsUnlessTheServerLies() {
        switchFaults("{\"fail\": 0.5}");
        assertThat(adminClient.send("GET", url + "/health", "").status()).isEqualTo(503);
        switchFaults("{\"fail\": 0.5, \"lie\": true}");
        assertThat(adminClient.send("GET", url + "/health", "").status()).isEqualTo(200);
    }

    @Test
    void silenceStopsOpenConnectionsForGoodAndNewOnesWork() throws IOException {
        assertThat(status(request("/menu?token=a&work-millis=1"))).isEqualTo(200);
        switchFaults("{\"silence\": true}");
        Call old = client.newCall(request("/menu?token=b&work-millis=1"));
        old.timeout().timeout(500, TimeUnit.MILLISECONDS);
        assertThatThrownBy(old::execute).isInstanceOf(InterruptedIOException.class);
        assertThat(execution("b").isMissingNode()).isTrue();
        client.connectionPool().evictAll();
        assertThat(status(request("/menu?token=c&work-millis=1"))).isEqualTo(200);
    }

    @Test
    void unknownFaultsAndWrongSharesAreRefused() {
        assertThat(adminClient
                        .send("POST", url + "/control/faults", "{\"fial\": 1}")
                        .status())
                .isEqualTo(400);
        assertThat(adminClient
                        .send("POST", url + "/control/faults", "{\"fail\": 2}")
                        .status())
                .isEqualTo(400);
    }

    @Test
    void coldServersAreSlowerForTheirFirstRequests() throws IOException {
        startOwn("--cold-requests", "1", "--cold-factor", "30");
        long start = System.nanoTime();
        assertThat(status(request("/menu?token=a&work-millis=20"))).isEqualTo(200);
        long first = System.nanoTime() - start;
        assertThat(first).isGreaterThanOrEqualTo(600_000_000);
        start = System.nanoTime();
        assertThat(status(request("/menu?token=b&work-millis=20"))).isEqualTo(200);
        assertThat(System.nanoTime() - start).isLessThan(first);
    }

    @Test
    void connectionsBeyondTheLimitAreClosed() throws IOException {
        startOwn("--connections", "2");
        startInBackground("/menu?token=a&work-millis=60000", "a");
        // An answered request leaves its connection open in the pool of the client, so both are taken then.
        await(() -> isAnswered("/menu?token=b&work-millis=1"));
        assertThat(adminClient.send("GET", url + "/health", "").status()).isZero();
        client.connectionPool().evictAll();
        await(() -> adminClient.send("GET", url + "/health", "").status() == 200);
        client.dispatcher().cancelAll();
    }

    @Test
    void drainFinishesTheWorkShedsNewRequestsAndExitsWithZero() throws Exception {
        startOwn("--linger-millis", "0");
        CompletableFuture<Integer> running = inBackground("/menu?token=a&work-millis=1500");
        awaitStarted("a");
        assertThat(adminClient.send("POST", url + "/control/drain", "").status())
                .isEqualTo(200);
        try (Response response =
                client.newCall(request("/menu?token=b&work-millis=1")).execute()) {
            assertThat(response.code()).isEqualTo(503);
            assertThat(response.header("Cassiabank-Leaving")).isEqualTo("true");
        }
        assertThat(running.join()).isEqualTo(200);
        assertThat(own.orElseThrow().awaitExit(WAIT_MILLIS)).isZero();
    }

    @Test
    void sigtermFinishesTheWorkAndExitsWithZero() throws Exception {
        startOwn("--linger-millis", "0");
        CompletableFuture<Integer> running = inBackground("/menu?token=a&work-millis=1500");
        awaitStarted("a");
        own.orElseThrow().sendSignal("TERM");
        assertThat(running.join()).isEqualTo(200);
        assertThat(own.orElseThrow().awaitExit(WAIT_MILLIS)).isZero();
    }

    private void startOwn(String... options) {
        url = "http://" + FreePorts.nextLoopbackAddress();
        own = Optional.of(start(url, options));
    }

    private static ChildProcess start(String url, String... options) {
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

    private void switchFaults(String json) {
        assertThat(adminClient.send("POST", url + "/control/faults", json).status())
                .isEqualTo(200);
    }

    private Request request(String path) {
        return new Request.Builder()
                .url(url + path.replace("token=", "token=" + test))
                .header("Cassiabank-Request-Id", "r1")
                .build();
    }

    private int status(Request request) throws IOException {
        try (Response response = client.newCall(request).execute()) {
            response.body().bytes();
            return response.code();
        }
    }

    private CompletableFuture<Integer> inBackground(String path) {
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

    private JsonNode execution(String key) {
        return adminClient.getJson(url + "/control/record").path("executions").path(test + key);
    }

    /** Sends a request until it runs; a connection that was closed before may count against the limit for a moment. */
    private void startInBackground(String path, String key) {
        AtomicReference<CompletableFuture<Integer>> request = new AtomicReference<>(inBackground(path));
        await(() -> {
            if (request.get().isDone()) {
                request.set(inBackground(path));
            }
            return execution(key).path("started").asInt() >= 1;
        });
    }

    private void awaitStarted(String key) {
        await(() -> execution(key).path("started").asInt() >= 1);
    }

    private int cancelled() {
        return adminClient
                .getJson(url + "/control/record?summary=true")
                .path("cancelled")
                .asInt();
    }

    private boolean isAnswered(String path) {
        try {
            return status(request(path)) == 200;
        } catch (IOException expected) {
            // The connection of the last poll may still count.
            return false;
        }
    }

    private static void await(java.util.function.BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("the condition holds in time").isLessThan(end);
            Thread.onSpinWait();
        }
    }
}
