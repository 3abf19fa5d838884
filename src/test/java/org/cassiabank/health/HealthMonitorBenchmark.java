package org.cassiabank.health;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the cost of one outcome and of one evaluation for a shard of 32 servers and 40 routes. */
@State(Scope.Benchmark)
public class HealthMonitorBenchmark {
    private static final int SERVERS = 32;
    private static final int ROUTES = 40;

    private final List<CompletedAttempt> attempts = IntStream.range(0, SERVERS * ROUTES * 100)
            .mapToObj(number -> new CompletedAttempt(
                    "server-" + number * 7 % SERVERS,
                    "route-" + number * 11 % ROUTES,
                    number % 100 == 0 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
                    20_000 + number % 97 * 200))
            .toList();
    private HealthMonitor monitor;
    private int next;
    private long now;

    @Setup
    public void createMonitor() {
        monitor = HealthMonitor.create(HealthSettings.defaults());
        monitor.replaceServers(
                IntStream.range(0, SERVERS)
                        .mapToObj(number -> new MonitoredServer("server-" + number, false, true))
                        .toList(),
                16,
                0);
        for (int number = 0; number < 10_000; number++) {
            record();
        }
    }

    @Benchmark
    public void record() {
        next = (next + 1) % attempts.size();
        now += next % 2;
        monitor.record(attempts.get(next), now);
    }

    @Benchmark
    public Map<String, ServerHealth> evaluate() {
        now += 50;
        return monitor.evaluate(now);
    }
}
