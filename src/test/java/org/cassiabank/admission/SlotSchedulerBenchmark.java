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

/** Measures what the owner of a shard of 32 servers spends on one request. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class SlotSchedulerBenchmark {
    private static final int SERVERS = 32;
    private static final int SLOTS = 6;

    /** How many callers have a request in the queue; 0 leaves half of the slots free. */
    @Param({"0", "1000"})
    int queuedCallers;

    private final Deque<Long> running = new ArrayDeque<>();
    private SlotScheduler scheduler;
    private long now;
    private int next;

    @Setup(Level.Iteration)
    public void fill() {
        scheduler = SlotScheduler.create(SchedulerSettings.defaults());
        scheduler.replaceServers(SchedulerSimulation.servers(SERVERS, SLOTS), 0);
        running.clear();
        now = 0;
        int wanted = queuedCallers == 0 ? SERVERS * SLOTS / 2 : SERVERS * SLOTS + queuedCallers;
        for (next = 0; next < wanted; next++) {
            offer();
        }
    }

    /** One operation is a report, the hand-over of its slot and a new request, at 100,000 requests a second. */
    @Benchmark
    public int finishAndOffer() {
        next++;
        now += next % 100 == 0 ? 1 : 0;
        scheduler.completeLease(running.removeFirst(), AttemptOutcome.ANSWERED, 1_500 + next % 1_000, now);
        for (TicketDecision decided : scheduler.advance(now)) {
            if (decided.decision() instanceof Granted granted) {
                running.add(granted.leaseId());
            }
        }
        offer();
        if (running.isEmpty()) {
            throw new IllegalStateException("no request holds a slot");
        }
        return running.size();
    }

    private void offer() {
        String caller = "caller-" + next % Math.max(100, queuedCallers);
        if (scheduler.acquire(SchedulerSimulation.request("route-" + next % 20, caller, 5_000), now)
                instanceof Granted granted) {
            running.add(granted.leaseId());
        }
    }
}
