package org.cassiabank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cassiabank.fleet.TestFleet.Member;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against proxies that send work to a server although it told them in its responses that it leaves, because the
 * platform still lists it or the owner of its slots knows nothing of it.
 */
class LeavingServerTest {
    /** A proxy that has passed on the announcement may use the server for requests that callers send until then. */
    private static final long BOUND_MILLIS = 2_000;

    private static final long REQUEST_INTERVAL_MILLIS = 25;
    /** Long enough that several proxies have orders at the server when it makes its first announcement. */
    private static final int WORK_MILLIS = 300;

    private static final long RETURN_MILLIS = 2_000;

    private static TestFleet fleet;

    private final TestCaller caller = TestCaller.withDeadlineMillis(1_500);
    private final List<SentOrder> orders = Collections.synchronizedList(new ArrayList<>());

    @BeforeAll
    static void startFleet() throws Exception {
        fleet = TestFleet.start(3, 4);
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
    void aServerThatAnnouncesItsLeavingGetsNoFurtherOrdersWhateverTheOwnersKnow() throws Exception {
        Member leaver = fleet.backends.getFirst();
        sendOrdersDuring(() -> {
            TimeUnit.MILLISECONDS.sleep(500);
            fleet.setBackendFaults(leaver, "{\"leaving\": true}");
            TimeUnit.MILLISECONDS.sleep(1_500);
            for (Member proxy : fleet.proxies) {
                // Another proxy owns the slots meanwhile, and this one afterwards knows nothing.
                proxy.kill();
                TimeUnit.MILLISECONDS.sleep(1_500);
                proxy.start();
                fleet.awaitReady(proxy);
                TimeUnit.MILLISECONDS.sleep(2_500);
            }
        });
        assertThat(orders.stream().filter(order -> order.ranAt(leaver)))
                .as("orders that ran at the leaving server")
                .isNotEmpty();
        assertThat(lateOrders(leaver)).as("orders sent too late").isEmpty();
    }

    @Test
    void ifAllServersAnnounceItOrdersAreRefusedUntilOneStartsAgain() throws Exception {
        for (Member server : fleet.backends) {
            fleet.setBackendFaults(server, "{\"leaving\": true}");
        }
        String address = fleet.proxies.getFirst().address();
        fleet.await(
                5_000,
                "orders are refused",
                () -> caller.post(address, "/orders", "order").status() == 503);
        TestCaller.CallResult refused = caller.post(address, "/orders", "order");
        assertThat(refused.outcome()).isEqualTo("not-run");
        assertThat(refused.retryAfterMillis()).isPresent();

        Member returned = fleet.backends.getLast();
        returned.kill();
        returned.start();
        fleet.awaitListening(returned);
        fleet.publishInstances();
        fleet.await(RETURN_MILLIS, "the server that started again runs orders", () -> caller.post(
                        address, "/orders", "order")
                .isAnswered());
        for (Member server : fleet.backends) {
            server.kill();
            server.start();
        }
    }

    /** Sends orders to all proxies in turn while something happens. */
    private void sendOrdersDuring(Disturbance disturbance) throws Exception {
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            var disturbing = callers.submit(() -> {
                disturbance.run();
                return true;
            });
            for (int number = 0; !disturbing.isDone(); number++) {
                Member proxy = fleet.proxies.get(number % fleet.proxies.size());
                callers.execute(() -> orders.add(send(proxy)));
                TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
            }
            disturbing.get();
        }
    }

    private SentOrder send(Member proxy) {
        String start = proxy.name() + "/" + System.identityHashCode(proxy.process());
        long sentMillis = nowMillis();
        TestCaller.CallResult result = caller.post(proxy.address(), "/orders?work-millis=" + WORK_MILLIS, "order");
        return new SentOrder(start, sentMillis, nowMillis(), result.body(), result.isLeavingAnnounced());
    }

    /** Returns the orders that ran at a server later than allowed after their proxy had passed on its announcement. */
    private List<String> lateOrders(Member leaver) {
        Map<String, Long> toldMillisByProxyStart = new HashMap<>();
        orders.stream()
                .filter(order -> order.ranAt(leaver) && order.leavingAnnounced())
                .forEach(order -> toldMillisByProxyStart.merge(order.proxyStart(), order.answeredMillis(), Math::min));
        return orders.stream()
                .filter(order -> order.ranAt(leaver)
                        && order.sentMillis()
                                > toldMillisByProxyStart.getOrDefault(order.proxyStart(), Long.MAX_VALUE / 2)
                                        + BOUND_MILLIS)
                .map(order -> order.proxyStart() + " after "
                        + (order.sentMillis() - toldMillisByProxyStart.get(order.proxyStart())) + " ms")
                .toList();
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * An order and its answer; times in milliseconds.
     *
     * @param proxyStart names the proxy and its start
     */
    private record SentOrder(
            String proxyStart, long sentMillis, long answeredMillis, String body, boolean leavingAnnounced) {
        boolean ranAt(Member server) {
            return body.contains("server=" + server.name() + "\n");
        }
    }

    private interface Disturbance {
        void run() throws InterruptedException;
    }
}
