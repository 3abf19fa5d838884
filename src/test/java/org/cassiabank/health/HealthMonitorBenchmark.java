package org.cassiabank.health;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the time of recording one attempt and of one evaluation for a shard of 32 servers and 40 routes. */
@State(Scope.Benchmark)
public class HealthMonitorBenchmark {
    private static final int SERVER_COUNT = 32;
    private static final int ROUTE_COUNT = 40;

    private final List<CompletedAttempt> attempts = IntStream.range(0, SERVER_COUNT * ROUTE_COUNT * 100)
            .mapToObj(number -> CompletedAttempt.ofUnknownEntryProxy(
                    "server-" + number * 7 % SERVER_COUNT,
                    "route-" + number * 11 % ROUTE_COUNT,
                    number % 100 == 0 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
                    20_000 + number % 97 * 200))
            .toList();
    private HealthMonitor monitor;
    private int attemptIndex;
    private long nowMillis;

    @Setup
    public void createMonitor() {
        monitor = HealthMonitor.create(HealthSettings.defaults());
        monitor.replaceServers(
                IntStream.range(0, SERVER_COUNT)
                        .mapToObj(number -> MonitoredServer.ofUnknownDomain("server-" + number, false, true))
                        .toList(),
                16,
                0);
        for (int number = 0; number < 10_000; number++) {
            record();
        }
    }

    @Benchmark
    public void record() {
        attemptIndex = (attemptIndex + 1) % attempts.size();
        nowMillis += attemptIndex % 2;
        monitor.record(attempts.get(attemptIndex), nowMillis);
    }

    @Benchmark
    public Map<String, ServerHealth> evaluate() {
        nowMillis += 50;
        return monitor.evaluate(nowMillis);
    }
}
