package org.cassiabank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cassiabank.fleet.TestFleet.Member;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that ends one backend server after the other because its caller sends it again.
 */
class FatalRequestTest {
    /** From this time on after a request has ended three servers, the users allow three more attempts at it. */
    private static final long STABILITY_MILLIS = 3_000;

    private static final int ALLOWED_ATTEMPTS = 3;
    private static final int FATAL_SERVERS = 3;
    private static final long RESTART_DELAY_MILLIS = 1_000;
    private static final long REPEAT_INTERVAL_MILLIS = 200;
    private static final long RUN_MILLIS = 16_000;

    private static TestFleet fleet;

    private final TestCaller caller = new TestCaller();

    @BeforeAll
    static void startFleet() throws Exception {
        fleet = TestFleet.start(4, 6);
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
    void aReadThatItsCallerRepeatsEndsOnlyAFewServers() throws Exception {
        assertFewServersEnd(() -> {}, number -> readAs("reader", number));
    }

    @Test
    void anOrderThatItsCallerRepeatsEndsOnlyAFewServers() throws Exception {
        assertFewServersEnd(() -> {}, number -> caller.post(proxyAddress(number), "/orders?crash=true", "order"));
    }

    @Test
    void aRequestEndsOnlyAFewServersWhileOneProxyAfterTheOtherIsPaused() throws Exception {
        assertFewServersEnd(
                () -> {
                    for (Member proxy : fleet.proxies) {
                        proxy.process().sendSignal("STOP");
                        TimeUnit.MILLISECONDS.sleep(2_500);
                        proxy.process().sendSignal("CONT");
                        TimeUnit.MILLISECONDS.sleep(500);
                    }
                },
                number -> readAs("reader beside pauses", number));
    }

    @Test
    void aRequestEndsOnlyAFewServersWhileOneProxyAfterTheOtherRestarts() throws Exception {
        assertFewServersEnd(
                () -> {
                    for (Member proxy : fleet.proxies) {
                        proxy.kill();
                        proxy.start();
                        fleet.awaitReady(proxy);
                    }
                },
                number -> readAs("reader beside restarts", number));
    }

    private TestCaller.CallResult readAs(String customer, int number) {
        return caller.getAs(customer, proxyAddress(number), "/menu?crash=true");
    }

    private static String proxyAddress(int number) {
        return fleet.proxies.get(number % fleet.proxies.size()).address();
    }

    /** Repeats a request at all proxies, restarts the servers that it ends, and counts them. */
    private void assertFewServersEnd(Disturbance disturbance, Attempt attempt) throws Exception {
        AtomicBoolean running = new AtomicBoolean(true);
        List<Long> endMillis = new ArrayList<>();
        List<Future<TestCaller.CallResult>> results = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<?> restarts = threads.submit(() -> {
                restartEndedServers(running, endMillis);
                return true;
            });
            Future<?> disturbing = threads.submit(() -> {
                disturbance.run();
                return true;
            });
            long startNanos = System.nanoTime();
            for (int number = 0; System.nanoTime() - startNanos < RUN_MILLIS * 1_000_000; number++) {
                int attemptNumber = number;
                results.add(threads.submit(() -> attempt.send(attemptNumber)));
                TimeUnit.MILLISECONDS.sleep(REPEAT_INTERVAL_MILLIS);
            }
            disturbing.get();
            running.set(false);
            restarts.get();
        }
        assertThat(endMillis).hasSizeGreaterThanOrEqualTo(FATAL_SERVERS);
        long countedFromMillis = endMillis.get(FATAL_SERVERS - 1) + STABILITY_MILLIS;
        assertThat(endMillis.stream().filter(millis -> millis > countedFromMillis))
                .as("servers ended at " + endMillis)
                .hasSizeLessThanOrEqualTo(ALLOWED_ATTEMPTS);
        for (Future<TestCaller.CallResult> result : results) {
            assertThat(result.get().isAnswered()).isFalse();
        }
    }

    private static void restartEndedServers(AtomicBoolean running, List<Long> endMillis) throws InterruptedException {
        Set<Member> restarting = ConcurrentHashMap.newKeySet();
        while (running.get()) {
            for (Member server : fleet.backends) {
                if (!server.process().isAlive() && restarting.add(server)) {
                    endMillis.add(System.nanoTime() / 1_000_000);
                    Thread.ofVirtual().start(() -> {
                        restart(server);
                        restarting.remove(server);
                    });
                }
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static void restart(Member server) {
        try {
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
            server.start();
            fleet.publishInstances();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** What disturbs the fleet while the request is repeated. */
    private interface Disturbance {
        void run() throws InterruptedException;
    }

    /** Sends the request, whose number only chooses the proxy. */
    private interface Attempt {
        TestCaller.CallResult send(int number);
    }
}
