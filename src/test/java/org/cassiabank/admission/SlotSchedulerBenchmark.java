package org.cassiabank.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.cassiabank.health.AttemptOutcome;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time that the owner of a shard of 32 servers spends on one request. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class SlotSchedulerBenchmark {
    private static final int SERVERS = 32;
    private static final int SLOTS_PER_SERVER = 6;

    /** The number of requests in the queue, each of another customer; 0 leaves half of the slots free. */
    @Param({"0", "1000"})
    int queuedCallers;

    private final Deque<Long> heldLeases = new ArrayDeque<>();
    private SlotScheduler scheduler;
    private long nowMillis;
    private int requestNumber;

    @Setup(Level.Iteration)
    public void fill() {
        scheduler = SlotScheduler.create(SchedulerSettings.defaults());
        scheduler.replaceServers(SchedulerSimulation.servers(SERVERS, SLOTS_PER_SERVER), 0);
        heldLeases.clear();
        nowMillis = 0;
        int initialRequests =
                queuedCallers == 0 ? SERVERS * SLOTS_PER_SERVER / 2 : SERVERS * SLOTS_PER_SERVER + queuedCallers;
        for (requestNumber = 0; requestNumber < initialRequests; requestNumber++) {
            acquireSlot();
        }
    }

    /** One operation is a report, the grant of its slot to another request and a new request, at 100,000 requests/s. */
    @Benchmark
    public int finishAndOffer() {
        requestNumber++;
        nowMillis += requestNumber % 100 == 0 ? 1 : 0;
        scheduler.completeLease(
                heldLeases.removeFirst(), AttemptOutcome.ANSWERED, 1_500 + requestNumber % 1_000, nowMillis);
        for (TicketDecision decided : scheduler.advance(nowMillis)) {
            if (decided.decision() instanceof Granted granted) {
                heldLeases.add(granted.leaseId());
            }
        }
        acquireSlot();
        if (heldLeases.isEmpty()) {
            throw new IllegalStateException("no request holds a slot");
        }
        return heldLeases.size();
    }

    private void acquireSlot() {
        String customer = "customer-" + requestNumber % Math.max(100, queuedCallers);
        if (scheduler.acquire(SchedulerSimulation.request("route-" + requestNumber % 20, customer, 5_000), nowMillis)
                instanceof Granted granted) {
            heldLeases.add(granted.leaseId());
        }
    }
}
