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
import org.cassiabank.fleet.TestFleet.Member;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Causes the faults of the platform against real processes and checks the guarantees of section 2 of the design. */
class FleetFaultTest {
    private static final long SEED = 20_261_204;
    /** The bound of guarantee 7. */
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
    void heal() {
        fleet.heal();
    }

    @Test
    void aChangeIsInForceEverywhereDuringAnOutageWithAOneWayPartitionAndSurvivesARestart() throws Exception {
        Member deaf = fleet.proxies.get(1);
        deaf.relay().setDropToTarget(true);
        fleet.proxies.get(2).relay().setDropFromTarget(true);
        long revision = fleet.commit(
                "change during a partition", "[service.kitchen]\nslots = 4\nfloor = 3\ndeadline-millis = 4000\n");
        long accepted = System.nanoTime();
        for (Member proxy : fleet.proxies) {
            fleet.await(
                    CHANGE_BOUND_MILLIS, proxy.name() + " has the change", () -> fleet.revisionOf(proxy) >= revision);
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - accepted)).isLessThan(CHANGE_BOUND_MILLIS);

        fleet.platformFaults("{\"outage\": true, \"listOutage\": false}");
        Member restarted = fleet.proxies.get(3);
        restarted.kill();
        restarted.start();
        // It cannot vote on claims yet, because peers of two failure domains do not answer it.
        fleet.awaitServing(restarted);
        assertThat(fleet.revisionOf(restarted)).isGreaterThanOrEqualTo(revision);
        assertThat(caller.get(restarted.address(), "/menu").isAnswered()).isTrue();
    }

    @Test
    void aChangeReachesEveryProxyWhenTheStoreIsLostRightAfterItsAcceptance() {
        long revision = fleet.commit(
                "change before an outage", "[service.kitchen]\nslots = 4\nfloor = 2\ndeadline-millis = 4000\n");
        fleet.await(1_000, "one proxy has the change", () -> fleet.proxies.stream()
                .anyMatch(proxy -> fleet.revisionOf(proxy) >= revision));
        fleet.platformFaults("{\"outage\": true}");
        for (Member proxy : fleet.proxies) {
            fleet.await(
                    CHANGE_BOUND_MILLIS, proxy.name() + " has the change", () -> fleet.revisionOf(proxy) >= revision);
        }
    }

    @Test
    void everyEntryAnswersWhileEachProxyInTurnIsFrozenOrNotHeard() {
        for (Member victim : fleet.proxies) {
            victim.process().sendSignal("STOP");
            answerAtAllBut(victim);
            victim.process().sendSignal("CONT");
            fleet.awaitReady(victim);
        }
        for (Member victim : fleet.proxies) {
            victim.relay().setDropFromTarget(true);
            answerAtAllBut(victim);
            victim.relay().setDropFromTarget(false);
            victim.relay().blackholeOpenConnections();
        }
        answerAtAllBut(null);
    }

    @Test
    void aKeyRunsOnceWhicheverEntryItIsRepeatedAt() throws Exception {
        for (int number = 0; number < 20; number++) {
            String key = "repeat-" + number;
            List<TestCaller.Reply> replies = new ArrayList<>();
            try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
                List<Future<TestCaller.Reply>> pending = new ArrayList<>();
                for (Member proxy : fleet.proxies) {
                    pending.add(callers.submit(() -> caller.order(proxy.address(), key, 20)));
                }
                for (Future<TestCaller.Reply> reply : pending) {
                    replies.add(reply.get());
                }
            }
            replies.add(caller.order(fleet.proxies.get(number % 4).address(), key, 20));
            int executions = fleet.executions().getOrDefault(key, 0);
            assertThat(executions).as(key + " " + replies).isLessThanOrEqualTo(1);
            assertThat(replies.stream().anyMatch(TestCaller.Reply::isAnswered))
                    .as(key + " " + replies)
                    .isEqualTo(executions == 1);
        }
    }

    @Test
    void noOrderRunsTwiceAndEveryAnswerIsTrueUnderCombinedFaults() throws Exception {
        Random random = new Random(SEED);
        AtomicBoolean running = new AtomicBoolean(true);
        Thread faults = Thread.ofVirtual().start(() -> causeFaults(random, running));
        Map<String, List<TestCaller.Reply>> replies = Collections.synchronizedMap(new HashMap<>());
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < 600; number++) {
                String key = "order-" + SEED + "-" + number;
                int first = random.nextInt(fleet.proxies.size());
                callers.execute(() -> replies.put(key, orderWithRepeats(key, first)));
                TimeUnit.MILLISECONDS.sleep(25);
            }
        }
        running.set(false);
        faults.join();
        Map<String, Integer> executions = fleet.executions();
        replies.forEach((key, seen) -> {
            int count = executions.getOrDefault(key, 0);
            assertThat(count).as(key + " " + seen).isLessThanOrEqualTo(1);
            if (seen.stream().allMatch(reply -> reply.outcome().equals("not-run"))) {
                assertThat(count).as(key + " " + seen).isZero();
            }
            if (seen.stream().anyMatch(TestCaller.Reply::isAnswered)) {
                assertThat(count).as(key + " " + seen).isEqualTo(1);
            }
        });
        long answered = replies.values().stream()
                .filter(seen -> seen.stream().anyMatch(TestCaller.Reply::isAnswered))
                .count();
        // Faults hit one member at a time, so most orders have to be answered.
        assertThat(answered).isGreaterThan(replies.size() * 9L / 10);
    }

    @Test
    void aGracefulStopOfEveryMemberInTurnCutsNoRequest() throws Exception {
        AtomicBoolean running = new AtomicBoolean(true);
        List<TestCaller.Reply> cut = Collections.synchronizedList(new ArrayList<>());
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            int id = number;
            callers.add(Thread.ofVirtual().start(() -> callWhile(running, id, cut)));
        }
        for (Member backend : fleet.backends) {
            fleet.markLeaving(backend, true);
            backend.process().sendSignal("TERM");
            assertThat(backend.process().awaitExit(20_000)).as(backend.name()).isZero();
            backend.start();
            fleet.await(
                    20_000,
                    backend.name() + " answers",
                    () -> fleet.adminClient
                                    .send("GET", backend.control() + "/health", "")
                                    .status()
                            == 200);
            fleet.markLeaving(backend, false);
        }
        for (Member proxy : fleet.proxies) {
            fleet.markLeaving(proxy, true);
            proxy.process().sendSignal("TERM");
            assertThat(proxy.process().awaitExit(20_000)).as(proxy.name()).isZero();
            proxy.start();
            fleet.awaitReady(proxy);
            fleet.markLeaving(proxy, false);
        }
        running.set(false);
        for (Thread thread : callers) {
            thread.join();
        }
        assertThat(cut).isEmpty();
    }

    @Test
    void aServerThatIsMarkedAsLeavingGetsNoNewWorkAfterThreeSeconds() throws Exception {
        Member leaving = fleet.backends.get(0);
        fleet.markLeaving(leaving, true);
        TimeUnit.SECONDS.sleep(3);
        int before = startedAt(leaving);
        for (int number = 0; number < 100; number++) {
            caller.get(fleet.proxies.get(number % 4).address(), "/menu?work-millis=5");
        }
        assertThat(startedAt(leaving)).isEqualTo(before);
    }

    @Test
    void cutAndForeignAnswersNeverReachACaller() {
        for (Member backend : fleet.backends.subList(0, 2)) {
            fleet.backendFaults(backend, "{\"cut\": 0.5, \"wrongAnswer\": 0.5}");
        }
        for (int number = 0; number < 200; number++) {
            TestCaller.Reply reply = caller.get(fleet.proxies.get(number % 4).address(), "/menu?work-millis=2");
            if (reply.isAnswered()) {
                assertThat(reply.body()).contains("\nend=");
                String token = reply.body().lines().findFirst().orElseThrow().substring("token=".length());
                assertThat(reply.body()).endsWith("end=" + token + "\n");
                assertThat(token).startsWith("proxy-" + number % 4);
            } else {
                assertThat(reply.outcome()).isIn("not-run", "unknown");
            }
        }
    }

    private int startedAt(Member backend) {
        return fleet.adminClient
                .getJson(backend.control() + "/control/record")
                .path("started")
                .asInt(-1);
    }

    private void answerAtAllBut(Member victim) {
        for (Member proxy : fleet.proxies) {
            if (proxy != victim) {
                for (int number = 0; number < 3; number++) {
                    TestCaller.Reply reply = caller.get(proxy.address(), "/menu?work-millis=5");
                    assertThat(reply.isAnswered())
                            .as(proxy.name() + " " + reply)
                            .isTrue();
                }
            }
        }
    }

    private void callWhile(AtomicBoolean running, int id, List<TestCaller.Reply> cut) {
        Random random = new Random(SEED + id);
        int number = 0;
        while (running.get()) {
            Member proxy = fleet.proxies.get(random.nextInt(fleet.proxies.size()));
            if (fleet.adminClient.send("GET", proxy.control() + "/health", "").status() != 200) {
                continue;
            }
            // Every fifth request runs longer than a stopping proxy keeps serving on account of its drain time.
            int workMillis = random.nextInt(5) == 0 ? 1_000 : 30;
            TestCaller.Reply reply = random.nextBoolean()
                    ? caller.get(proxy.address(), "/menu?work-millis=" + workMillis)
                    : caller.order(proxy.address(), "rolling-" + id + "-" + number++, workMillis);
            // A refused connection is one the load balancer would not have made after the failed check.
            boolean refused = reply.outcome().equals("broken") && reply.reason().contains("Failed to connect");
            if (!reply.isAnswered() && !reply.outcome().equals("not-run") && !refused) {
                cut.add(reply);
            }
        }
    }

    private List<TestCaller.Reply> orderWithRepeats(String key, int first) {
        List<TestCaller.Reply> seen = new ArrayList<>();
        for (int attempt = 0; attempt < 6; attempt++) {
            Member proxy = fleet.proxies.get((first + attempt) % fleet.proxies.size());
            TestCaller.Reply reply = caller.order(proxy.address(), key, 20);
            seen.add(reply);
            if (reply.isAnswered() || reply.reason().equals("earlier-outcome-unknown")) {
                break;
            }
            pause(300);
        }
        return seen;
    }

    private void causeFaults(Random random, AtomicBoolean running) {
        while (running.get()) {
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
                    fleet.awaitReady(proxy);
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
                }
                case 5 -> {
                    fleet.backendFaults(backend, "{\"stall\": 0.3, \"cut\": 0.2, \"fail\": 0.2}");
                    pause(1_000);
                    fleet.backendFaults(backend, "{}");
                }
                default -> {
                    fleet.platformFaults("{\"outage\": true}");
                    pause(1_000);
                    fleet.platformFaults("{}");
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
