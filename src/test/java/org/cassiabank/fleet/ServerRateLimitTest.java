package org.cassiabank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cassiabank.fleet.TestFleet.Member;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet that sends a server more requests a second than the server accepts according to its responses.
 */
class ServerRateLimitTest {
    private static final double LIMIT = 2;
    private static final int LIMITED_SERVERS = 2;
    private static final long WINDOW_MILLIS = 4_000;
    /** The users allow one and a half times the limit and 5 requests in a window of some 4 s. */
    private static final double ALLOWED_FACTOR = 1.5;

    private static final int ALLOWED_SLACK = 5;
    /** From this time on after a proxy passed on the first response with the limit, its requests count. */
    private static final long NOTICE_MILLIS = 500;

    private static final long REQUEST_INTERVAL_MILLIS = 20;

    private static TestFleet fleet;

    private final TestCaller caller = new TestCaller();

    @BeforeAll
    static void startFleet() throws Exception {
        fleet = TestFleet.start(4, 4);
    }

    @AfterAll
    static void stopFleet() throws Exception {
        fleet.close();
    }

    @AfterEach
    void clearFaults() {
        fleet.clearFaultsAndAwaitHealthy();
    }

    @Test
    void limitedServersGetNoMoreThanTheyAcceptWhileTheOthersServeTheRest() throws Exception {
        List<TestCaller.CallResult> results = sendWithLimitedServers(12_000, () -> {});
        long answered =
                results.stream().filter(TestCaller.CallResult::isAnswered).count();
        assertThat(answered).isGreaterThan(results.size() * 95L / 100);
    }

    @Test
    void limitsHoldWhileOneProxyAfterTheOtherIsPaused() throws Exception {
        sendWithLimitedServers(16_000, () -> {
            for (Member proxy : fleet.proxies) {
                TimeUnit.MILLISECONDS.sleep(1_500);
                proxy.process().sendSignal("STOP");
                TimeUnit.MILLISECONDS.sleep(2_000);
                proxy.process().sendSignal("CONT");
            }
        });
    }

    /** Sends reads to all proxies in turn, and checks the requests of each limited server in every window. */
    private List<TestCaller.CallResult> sendWithLimitedServers(long millis, Disturbance disturbance) throws Exception {
        for (Member server : fleet.backends.subList(0, LIMITED_SERVERS)) {
            fleet.setBackendFaults(server, "{\"rateLimit\": " + LIMIT + "}");
        }
        List<TestCaller.CallResult> results = Collections.synchronizedList(new ArrayList<>());
        Map<String, TreeMap<Long, Long>> receivedByServer = new TreeMap<>();
        long startNanos = System.nanoTime();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            var disturbing = callers.submit(() -> {
                disturbance.run();
                return true;
            });
            int number = 0;
            while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < millis) {
                String address =
                        fleet.proxies.get(number % fleet.proxies.size()).address();
                callers.execute(() -> results.add(caller.get(address, "/menu?work-millis=20")));
                if (number++ % 10 == 0) {
                    recordReceived(receivedByServer, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                }
                TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
            }
            disturbing.get();
        }
        receivedByServer.forEach(
                (server, received) -> received.tailMap(NOTICE_MILLIS).forEach((fromMillis, before) -> {
                    long untilMillis = fromMillis + WINDOW_MILLIS;
                    if (untilMillis <= received.lastKey()) {
                        assertThat(received.floorEntry(untilMillis).getValue() - before)
                                .as(server + " from " + fromMillis + " to " + untilMillis + " ms: " + received)
                                .isLessThanOrEqualTo(
                                        (long) (ALLOWED_FACTOR * LIMIT * WINDOW_MILLIS / 1_000) + ALLOWED_SLACK);
                    }
                }));
        return results;
    }

    private static void recordReceived(Map<String, TreeMap<Long, Long>> receivedByServer, long nowMillis) {
        for (Member server : fleet.backends.subList(0, LIMITED_SERVERS)) {
            long received = fleet.adminClient
                    .getJson(server.adminUrl() + "/control/record?summary=true")
                    .path("received")
                    .asLong();
            receivedByServer
                    .computeIfAbsent(server.name(), name -> new TreeMap<>())
                    .put(nowMillis, received);
        }
    }

    /** What disturbs the fleet while requests are sent. */
    private interface Disturbance {
        void run() throws InterruptedException;
    }
}
