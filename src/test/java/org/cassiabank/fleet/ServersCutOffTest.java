package org.cassiabank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.cassiabank.fleet.SocksFaultRelay.Manner;
import org.cassiabank.fleet.TestFleet.Member;
import org.cassiabank.load.FreePorts;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against proxies that serve next to nothing because they reach callers, the platform and their peers but no
 * backend server, and against the others suffering from that.
 */
class ServersCutOffTest {
    /** From this time on after a cut the users compare the proxies that are cut off with the others. */
    private static final long STABILITY_MILLIS = 3_000;

    /** A request fails less often than this share where the servers have capacity. */
    private static final double MAXIMUM_FAILED_SHARE = 0.02;

    private static final double MINIMUM_RELATIVE_SHARE = 2.0 / 3;
    private static final long MEASURED_MILLIS = 4_000;
    private static final long REQUEST_INTERVAL_MILLIS = 60;
    private static final int WORK_MILLIS = 20;
    private static final int PROXIES = 6;
    private static final int SERVERS = 6;

    private static TestFleet fleet;

    private final TestCaller caller = TestCaller.withDeadlineMillis(1_500);

    @BeforeAll
    static void startFleet() throws Exception {
        fleet = TestFleet.startWithConnectionRelays(PROXIES, SERVERS);
        new ServersCutOffTest().heal();
    }

    @AfterAll
    static void stopFleet() throws Exception {
        fleet.close();
    }

    @AfterEach
    void heal() throws Exception {
        fleet.proxies.forEach(proxy -> proxy.connectionRelay().heal());
        fleet.clearFaultsAndAwaitHealthy();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (measure(callers, Set.of(), 1_000).others.servedShare() < 1) {
                assertThat(System.nanoTime()).isLessThan(deadlineNanos);
            }
        }
    }

    @Test
    void callersOfTwoProxiesWhoseConnectionsToServersHangAreServedLikeTheOthers() throws Exception {
        assertServedWhileCutOff(Set.of(0, 3), Manner.SILENT);
    }

    @Test
    void callersOfAFailureDomainWhoseConnectionsToServersAreResetAreServedLikeTheOthers() throws Exception {
        assertServedWhileCutOff(Set.of(1, 5), Manner.RESET);
    }

    @Test
    void callersOfProxiesThatCanOpenNoConnectionToServersAreServedLikeTheOthers() throws Exception {
        assertServedWhileCutOff(Set.of(2, 4), Manner.REFUSE_NEW);
    }

    @Test
    void callersAreServedWhenAllProxiesButOneAreCutOffFromTheServers() throws Exception {
        assertServedWhileCutOff(Set.of(0, 1, 2, 3, 4), Manner.SILENT);
    }

    private void assertServedWhileCutOff(Set<Integer> cutOff, Manner manner) throws Exception {
        Set<Integer> serverPorts = fleet.backends.stream()
                .map(server -> Integer.parseInt(
                        server.address().substring(server.address().indexOf(':') + 1)))
                .collect(Collectors.toSet());
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            Measurement before = measure(callers, Set.of(), 1_500);
            assertThat(before.others.servedShare())
                    .as("share before the cut, %s", before)
                    .isGreaterThan(0.98);
            for (int number : cutOff) {
                fleet.proxies.get(number).connectionRelay().cut(serverPorts::contains, manner);
            }
            measure(callers, cutOff, STABILITY_MILLIS);
            Measurement during = measure(callers, cutOff, MEASURED_MILLIS);
            assertThat(during.cutOff.servedShare())
                    .as("share served at proxies that are cut off, %s", during)
                    .isGreaterThanOrEqualTo(MINIMUM_RELATIVE_SHARE * during.others.servedShare())
                    .isGreaterThan(1 - MAXIMUM_FAILED_SHARE);
            assertThat(during.others.servedShare())
                    .as("share served at the others, %s", during)
                    .isGreaterThan(1 - MAXIMUM_FAILED_SHARE);
            for (int number : cutOff) {
                fleet.proxies.get(number).connectionRelay().heal();
            }
            measure(callers, cutOff, STABILITY_MILLIS);
            Measurement after = measure(callers, cutOff, 1_500);
            assertThat(after.cutOff.servedShare())
                    .as("share after the cut, %s", after)
                    .isGreaterThan(0.98);
        }
        assertThat(fleet.executionsByKey())
                .allSatisfy((key, count) -> assertThat(count).isEqualTo(1));
    }

    /** Sends reads and orders to each proxy at fixed intervals, each tried once. */
    private Measurement measure(ExecutorService callers, Set<Integer> cutOff, long millis) throws Exception {
        Measurement measurement = new Measurement(new Share(), new Share());
        List<Future<?>> pending = new ArrayList<>();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (int round = 0; System.nanoTime() < endNanos; round++) {
            boolean order = round % 2 == 0;
            for (int number = 0; number < PROXIES; number++) {
                Member proxy = fleet.proxies.get(number);
                Share share = cutOff.contains(number) ? measurement.cutOff : measurement.others;
                pending.add(callers.submit(() -> share.record(send(proxy, order))));
            }
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
        }
        for (Future<?> request : pending) {
            request.get();
        }
        return measurement;
    }

    private TestCaller.CallResult send(Member proxy, boolean order) {
        return order
                ? caller.order(proxy.address(), "order-" + FreePorts.nextPort() + "-" + System.nanoTime(), WORK_MILLIS)
                : caller.get(proxy.address(), "/menu?work-millis=" + WORK_MILLIS);
    }

    private record Measurement(Share cutOff, Share others) {}

    /** Counts first tries and those that were served. */
    private static final class Share {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final Map<String, AtomicInteger> failures = new ConcurrentHashMap<>();

        private void record(TestCaller.CallResult result) {
            sent.incrementAndGet();
            if (result.status() == 200) {
                served.incrementAndGet();
            } else {
                failures.computeIfAbsent(result.outcome() + " " + result.reason(), key -> new AtomicInteger())
                        .incrementAndGet();
            }
        }

        private double servedShare() {
            return sent.get() == 0 ? 1 : (double) served.get() / sent.get();
        }

        @Override
        public String toString() {
            return served + " of " + sent + " " + failures;
        }
    }
}
