package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Distributes requests over addresses in round-robin order and skips those whose health check fails, as the load
 * balancer of the platform does. Health checks run every 250 ms. Thread-safe.
 */
public final class LoadBalancer implements AutoCloseable {
    private static final long CHECK_INTERVAL_MILLIS = 250;

    private final List<Target> targets;
    private final AdminClient adminClient = AdminClient.create(1_000);
    private final AtomicInteger nextIndex = new AtomicInteger();
    private final Thread checkThread;
    private volatile List<String> healthyAddresses;

    private LoadBalancer(List<Target> targets) {
        this.targets = List.copyOf(targets);
        this.healthyAddresses = targets.stream().map(Target::address).toList();
        this.checkThread = Thread.ofVirtual().name("health-check").unstarted(this::checkUntilClosed);
    }

    /**
     * Starts a load balancer. Until the first health check has completed, all addresses are used.
     *
     * @param targets the addresses with their health pages, at least one
     * @return the running load balancer
     */
    public static LoadBalancer start(List<Target> targets) {
        LoadBalancer balancer = new LoadBalancer(targets);
        balancer.checkThread.start();
        return balancer;
    }

    /**
     * Returns the next address in round-robin order.
     *
     * @return an address that passed the last health check, or any address if none passed it
     */
    public String nextAddress() {
        List<String> addresses = healthyAddresses;
        return addresses.get(Math.floorMod(nextIndex.getAndIncrement(), addresses.size()));
    }

    @Override
    public void close() {
        checkThread.interrupt();
    }

    private void checkUntilClosed() {
        try {
            while (true) {
                checkTargets();
                Thread.sleep(CHECK_INTERVAL_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkTargets() throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        boolean[] passed = new boolean[targets.size()];
        for (int index = 0; index < passed.length; index++) {
            int targetIndex = index;
            threads.add(Thread.startVirtualThread(() -> passed[targetIndex] = adminClient
                            .send("GET", targets.get(targetIndex).healthUrl(), "")
                            .status()
                    == 200));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        List<String> passedAddresses = new ArrayList<>();
        for (int index = 0; index < passed.length; index++) {
            if (passed[index]) {
                passedAddresses.add(targets.get(index).address());
            }
        }
        healthyAddresses = passedAddresses.isEmpty()
                ? targets.stream().map(Target::address).toList()
                : List.copyOf(passedAddresses);
    }

    /**
     * An address that requests are distributed to, with its health page.
     *
     * @param address IP address and port for requests
     * @param healthUrl the URL of the health page, which returns status 200 if the address is healthy
     */
    public record Target(String address, String healthUrl) {}
}
