package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out addresses in turn and skips those whose health page fails, as the platform's load balancer does.
 * Thread-safe.
 */
public final class LoadBalancer implements AutoCloseable {
    private static final long CHECK_INTERVAL_MILLIS = 250;

    private final List<Entry> entries;
    private final AdminClient client = AdminClient.create(1_000);
    private final AtomicInteger next = new AtomicInteger();
    private final Thread checker;
    private volatile List<String> healthy;

    private LoadBalancer(List<Entry> entries) {
        this.entries = List.copyOf(entries);
        this.healthy = entries.stream().map(Entry::address).toList();
        this.checker = Thread.ofVirtual().name("health-check").unstarted(this::checkUntilClosed);
    }

    /**
     * Starts a load balancer.
     *
     * @param entries the addresses with their health pages
     * @return the running load balancer
     */
    public static LoadBalancer start(List<Entry> entries) {
        LoadBalancer balancer = new LoadBalancer(entries);
        balancer.checker.start();
        return balancer;
    }

    /**
     * Returns the next address.
     *
     * @return an address that was healthy at the last check; any address if none was
     */
    public String next() {
        List<String> current = healthy;
        return current.get(Math.floorMod(next.getAndIncrement(), current.size()));
    }

    @Override
    public void close() {
        checker.interrupt();
    }

    private void checkUntilClosed() {
        try {
            while (true) {
                check();
                Thread.sleep(CHECK_INTERVAL_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void check() throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        boolean[] good = new boolean[entries.size()];
        for (int index = 0; index < good.length; index++) {
            int position = index;
            threads.add(Thread.startVirtualThread(() -> good[position] =
                    client.send("GET", entries.get(position).healthUrl(), "").status() == 200));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        List<String> found = new ArrayList<>();
        for (int index = 0; index < good.length; index++) {
            if (good[index]) {
                found.add(entries.get(index).address());
            }
        }
        healthy = found.isEmpty() ? entries.stream().map(Entry::address).toList() : List.copyOf(found);
    }

    /**
     * An address with its health page.
     *
     * @param address IP number and port for requests
     * @param healthUrl the URL of the health page
     */
    public record Entry(String address, String healthUrl) {}
}
