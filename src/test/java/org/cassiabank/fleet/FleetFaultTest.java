package org.cassiabank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiabank.fleet.TestFleet.Member;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Injects the faults of the platform into a fleet of real processes (paused and killed processes, one-way partitions,
 * store outages, failing backend servers) and checks the guarantees of section 2 of the design.
 */
class FleetFaultTest {
    private static final long SEED = 20_261_204;
    /** The time bound of guarantee 7: every proxy has applied an accepted change. */
    private static final long CHANGE_BOUND_MILLIS = 5_000;

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
    void aChangeIsAppliedByEveryProxyDuringAOneWayPartitionAndSurvivesARestartDuringAnOutage() throws Exception {
        Member unreachable = fleet.proxies.get(1);
        unreachable.relay().setDropToTarget(true);
        fleet.proxies.get(2).relay().setDropFromTarget(true);
        long revision = fleet.commit(
                "change during a partition", "[service.kitchen]\nslots = 4\nfloor = 3\ndeadline-millis = 4000\n");
        long acceptedNanos = System.nanoTime();
        for (Member proxy : fleet.proxies) {
            fleet.await(
                    CHANGE_BOUND_MILLIS, proxy.name() + " has the change", () -> fleet.revisionOf(proxy) >= revision);
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNanos))
                .isLessThan(CHANGE_BOUND_MILLIS);

        fleet.setPlatformFaults("{\"outage\": true, \"listOutage\": false}");
        Member restarted = fleet.proxies.get(3);
        restarted.kill();
        restarted.start();
        // It cannot vote on claims yet, because the peers of two failure domains cannot respond to it.
        fleet.awaitReady(restarted);
        assertThat(fleet.revisionOf(restarted)).isGreaterThanOrEqualTo(revision);
        assertThat(caller.get(restarted.address(), "/menu").isAnswered()).isTrue();
    }

    @Test
    void aChangeReachesEveryProxyWhenTheStoreFailsRightAfterAcceptingIt() {
        long revision = fleet.commit(
                "change before an outage", "[service.kitchen]\nslots = 4\nfloor = 2\ndeadline-millis = 4000\n");
        fleet.await(1_000, "one proxy has the change", () -> fleet.proxies.stream()
                .anyMatch(proxy -> fleet.revisionOf(proxy) >= revision));
        fleet.setPlatformFaults("{\"outage\": true}");
        for (Member proxy : fleet.proxies) {
            fleet.await(
                    CHANGE_BOUND_MILLIS, proxy.name() + " has the change", () -> fleet.revisionOf(proxy) >= revision);
        }
    }

    @Test
    void everyOtherProxyAnswersWhileOneProxyIsPausedOrItsPeerResponsesAreLost() {
        for (Member faultyProxy : fleet.proxies) {
            faultyProxy.process().sendSignal("STOP");
            assertAllAnswerExcept(faultyProxy);
            faultyProxy.process().sendSignal("CONT");
            fleet.awaitClaimsReady(faultyProxy);
        }
        for (Member faultyProxy : fleet.proxies) {
            faultyProxy.relay().setDropFromTarget(true);
            assertAllAnswerExcept(faultyProxy);
            faultyProxy.relay().setDropFromTarget(false);
            faultyProxy.relay().blackholeOpenConnections();
        }
        assertAllAnswerExcept(null);
    }

    @Test
    void aRequestWithAnIdempotencyKeyRunsAtMostOnceWhicheverProxiesReceiveIt() throws Exception {
        for (int number = 0; number < 20; number++) {
            String key = "repeat-" + number;
            List<TestCaller.CallResult> results = new ArrayList<>();
            try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
                List<Future<TestCaller.CallResult>> pending = new ArrayList<>();
                for (Member proxy : fleet.proxies) {
                    pending.add(callers.submit(() -> caller.order(proxy.address(), key, 20)));
                }
                for (Future<TestCaller.CallResult> result : pending) {
                    results.add(result.get());
                }
            }
            results.add(caller.order(fleet.proxies.get(number % 4).address(), key, 20));
            int executions = fleet.executionsByKey().getOrDefault(key, 0);
            assertThat(executions).as(key + " " + results).isLessThanOrEqualTo(1);
            assertThat(results.stream().anyMatch(TestCaller.CallResult::isAnswered))
                    .as(key + " " + results)
                    .isEqualTo(executions == 1);
        }
    }

    @Test
    void noOrderRunsTwiceAndEveryOutcomeIsCorrectUnderCombinedFaults() throws Exception {
        Random random = new Random(SEED);
        AtomicBoolean running = new AtomicBoolean(true);
        AtomicInteger injectedFaults = new AtomicInteger();
        AtomicReference<Throwable> faultFailure = new AtomicReference<>();
        Thread faults = Thread.ofVirtual().start(() -> {
            try {
                injectFaults(random, running, injectedFaults);
            } catch (RuntimeException | Error failure) {
                faultFailure.set(failure);
            }
        });
        Map<String, List<TestCaller.CallResult>> results = Collections.synchronizedMap(new HashMap<>());
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < 600; number++) {
                String key = "order-" + SEED + "-" + number;
                int firstProxyNumber = random.nextInt(fleet.proxies.size());
                callers.execute(() -> results.put(key, orderWithRetries(key, firstProxyNumber)));
                TimeUnit.MILLISECONDS.sleep(25);
            }
        }
        running.set(false);
        faults.join();
        assertThat(faultFailure.get()).isNull();
        // A fault takes at most 3 s of the 15 s; without faults the test would show nothing.
        assertThat(injectedFaults).hasValueGreaterThanOrEqualTo(5);
        Map<String, Integer> executions = fleet.executionsByKey();
        results.forEach((key, orderResults) -> {
            int count = executions.getOrDefault(key, 0);
            assertThat(count).as(key + " " + orderResults).isLessThanOrEqualTo(1);
            if (orderResults.stream().allMatch(result -> result.outcome().equals("not-run"))) {
                assertThat(count).as(key + " " + orderResults).isZero();
            }
            if (orderResults.stream().anyMatch(TestCaller.CallResult::isAnswered)) {
                assertThat(count).as(key + " " + orderResults).isEqualTo(1);
            }
        });
        long answered = results.values().stream()
                .filter(orderResults -> orderResults.stream().anyMatch(TestCaller.CallResult::isAnswered))
                .count();
        // Each fault affects one process, so most orders have to be answered.
        assertThat(answered).isGreaterThan(results.size() * 9L / 10);
    }

    @Test
    void aGracefulStopOfEveryProcessInTurnBreaksNoRequest() throws Exception {
        AtomicBoolean running = new AtomicBoolean(true);
        List<TestCaller.CallResult> broken = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            int callerNumber = number;
            callers.add(Thread.ofVirtual().start(() -> callWhileRunning(running, callerNumber, broken)));
        }
        for (Member backend : fleet.backends) {
            fleet.setLeaving(backend, true);
            backend.process().sendSignal("TERM");
            assertThat(backend.process().awaitExit(20_000)).as(backend.name()).isZero();
            backend.start();
            fleet.await(
                    20_000,
                    backend.name() + " answers",
                    () -> fleet.adminClient
                                    .send("GET", backend.adminUrl() + "/health", "")
                                    .status()
                            == 200);
            fleet.setLeaving(backend, false);
        }
        for (Member proxy : fleet.proxies) {
            fleet.setLeaving(proxy, true);
            proxy.process().sendSignal("TERM");
            assertThat(proxy.process().awaitExit(20_000)).as(proxy.name()).isZero();
            proxy.start();
            fleet.awaitClaimsReady(proxy);
            fleet.setLeaving(proxy, false);
        }
        running.set(false);
        for (Thread thread : callers) {
            thread.join();
        }
        assertThat(broken).isEmpty();
    }

    @Test
    void aBackendServerMarkedAsLeavingReceivesNoNewRequestAfterThreeSeconds() throws Exception {
        Member leavingBackend = fleet.backends.get(0);
        fleet.setLeaving(leavingBackend, true);
        TimeUnit.SECONDS.sleep(3);
        int startedBefore = startedExecutions(leavingBackend);
        for (int number = 0; number < 100; number++) {
            caller.get(fleet.proxies.get(number % 4).address(), "/menu?work-millis=5");
        }
        assertThat(startedExecutions(leavingBackend)).isEqualTo(startedBefore);
    }

    @Test
    void cutResponsesAndResponsesToOtherRequestsNeverReachACaller() {
        for (Member backend : fleet.backends.subList(0, 2)) {
            fleet.setBackendFaults(backend, "{\"cut\": 0.5, \"wrongAnswer\": 0.5}");
        }
        for (int number = 0; number < 200; number++) {
            TestCaller.CallResult result =
                    caller.get(fleet.proxies.get(number % 4).address(), "/menu?work-millis=2");
            if (result.isAnswered()) {
                assertThat(result.body()).contains("\nend=");
                String token = result.body().lines().findFirst().orElseThrow().substring("token=".length());
                assertThat(result.body()).endsWith("end=" + token + "\n");
                assertThat(token).startsWith("proxy-" + number % 4);
            } else {
                assertThat(result.outcome()).isIn("not-run", "unknown");
            }
        }
    }

    private int startedExecutions(Member backend) {
        return fleet.adminClient
                .getJson(backend.adminUrl() + "/control/record")
                .path("started")
                .asInt(-1);
    }

    private void assertAllAnswerExcept(Member excluded) {
        for (Member proxy : fleet.proxies) {
            if (proxy != excluded) {
                for (int number = 0; number < 3; number++) {
                    TestCaller.CallResult result = caller.get(proxy.address(), "/menu?work-millis=5");
                    assertThat(result.isAnswered())
                            .as(proxy.name() + " " + result)
                            .isTrue();
                }
            }
        }
    }

    private void callWhileRunning(AtomicBoolean running, int callerNumber, List<TestCaller.CallResult> broken) {
        Random random = new Random(SEED + callerNumber);
        int orderNumber = 0;
        while (running.get()) {
            Member proxy = fleet.proxies.get(random.nextInt(fleet.proxies.size()));
            if (fleet.adminClient.send("GET", proxy.adminUrl() + "/health", "").status() != 200) {
                continue;
            }
            // About every fifth request runs longer than the drain time of a stopping proxy.
            int workMillis = random.nextInt(5) == 0 ? 1_000 : 30;
            TestCaller.CallResult result = random.nextBoolean()
                    ? caller.get(proxy.address(), "/menu?work-millis=" + workMillis)
                    : caller.order(proxy.address(), "rolling-" + callerNumber + "-" + orderNumber++, workMillis);
            // The load balancer would not have opened a refused connection, because the health check failed before.
            boolean isConnectionRefused =
                    result.outcome().equals("broken") && result.reason().contains("Failed to connect");
            if (!result.isAnswered() && !result.outcome().equals("not-run") && !isConnectionRefused) {
                broken.add(result);
            }
        }
    }

    private List<TestCaller.CallResult> orderWithRetries(String key, int firstProxyNumber) {
        List<TestCaller.CallResult> orderResults = new ArrayList<>();
        for (int attempt = 0; attempt < 6; attempt++) {
            Member proxy = fleet.proxies.get((firstProxyNumber + attempt) % fleet.proxies.size());
            TestCaller.CallResult result = caller.order(proxy.address(), key, 20);
            orderResults.add(result);
            if (result.isAnswered() || result.reason().equals("earlier-outcome-unknown")) {
                break;
            }
            pause(300);
        }
        return orderResults;
    }

    private void injectFaults(Random random, AtomicBoolean running, AtomicInteger injectedFaults) {
        while (running.get()) {
            injectedFaults.incrementAndGet();
            Member proxy = fleet.proxies.get(random.nextInt(fleet.proxies.size()));
            Member backend = fleet.backends.get(random.nextInt(fleet.backends.size()));
            switch (random.nextInt(7)) {
                case 0 -> {
                    proxy.process().sendSignal("STOP");
                    pause(1_500);
                    proxy.process().sendSignal("CONT");
                }
                case 1 -> {
                    proxy.kill();
                    proxy.start();
                    fleet.awaitClaimsReady(proxy);
                }
                case 2 -> {
                    proxy.relay().setDropFromTarget(true);
                    pause(1_000);
                    proxy.relay().setDropFromTarget(false);
                    proxy.relay().blackholeOpenConnections();
                }
                case 3 -> {
                    proxy.relay().setDropToTarget(true);
                    pause(1_000);
                    proxy.relay().setDropToTarget(false);
                    proxy.relay().blackholeOpenConnections();
                }
                case 4 -> {
                    backend.kill();
                    backend.start();
                    fleet.awaitListening(backend);
                }
                case 5 -> {
                    fleet.setBackendFaults(backend, "{\"stall\": 0.3, \"cut\": 0.2, \"fail\": 0.2}");
                    pause(1_000);
                    fleet.setBackendFaults(backend, "{}");
                }
                default -> {
                    fleet.setPlatformFaults("{\"outage\": true}");
                    pause(1_000);
                    fleet.setPlatformFaults("{}");
                }
            }
            pause(200);
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
