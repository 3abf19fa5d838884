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

    private final List<Observation> observations = IntStream.range(0, SERVERS * ROUTES * 100)
            .mapToObj(number -> new Observation(
                    "server-" + number * 7 % SERVERS,
                    "route-" + number * 11 % ROUTES,
                    number % 100 == 0 ? Outcome.FAILED : Outcome.ANSWERED,
                    20_000 + number % 97 * 200))
            .toList();
    private HealthMonitor monitor;
    private int next;
    private long now;

    @Setup
    public void createMonitor() {
        monitor = HealthMonitor.create(HealthSettings.defaults());
        monitor.updateServers(
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
        next = (next + 1) % observations.size();
        now += next % 2;
        monitor.record(observations.get(next), now);
    }

    @Benchmark
    public Map<String, ServerHealth> evaluate() {
        now += 50;
        return monitor.evaluate(now);
    }
}
