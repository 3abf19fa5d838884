package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against ejections of healthy servers, each of which costs capacity exactly when a service is under stress. */
class FalseAlarmTest {
    private static final long RUNS = Long.getLong("cassiabank.health.noise", 3);
    // Runs in which earlier versions ejected a healthy server.
    private static final long[] EARLIER_ALARMS = {410, 418, 450, 601};
    private static final long HOUR_MILLIS = 3_600_000;

    @Test
    void noHealthyServerIsEjectedInAnHourOfNoise() {
        assertThat(run("sequential test", RUNS, () -> new ServiceSimulation.Monitor(0)))
                .isZero();
    }

    @Test
    void fiveConsecutiveFailuresEjectHealthyServersInTheSameNoise() {
        long runs = Math.max(2, RUNS / 10);
        assertThat(run("5 consecutive failures", runs, ServiceSimulation.ConsecutiveFailures::new))
                .isPositive();
    }

    private static long run(String rule, long runs, Supplier<ServiceSimulation.Judge> judges) {
        List<ServiceSimulation> done = LongStream.concat(LongStream.rangeClosed(1, runs), LongStream.of(EARLIER_ALARMS))
                .distinct()
                .parallel()
                .mapToObj(seed -> {
                    int servers = new SplittableRandom(seed).nextInt(8, 21);
                    ServiceSimulation simulation = new ServiceSimulation(
                            seed, servers, 6, 20, false, judges.get(), new HealthyNoise(-seed, servers));
                    simulation.run(0, HOUR_MILLIS);
                    return simulation;
                })
                .toList();
        long alarms = done.stream().mapToLong(run -> run.ejections().size()).sum();
        long affected = done.stream().filter(run -> !run.ejections().isEmpty()).count();
        long samples = done.stream().mapToLong(ServiceSimulation::samples).sum();
        System.out.printf(
                "false alarms, %s: %d in %d of %d runs (seeds 1 to %d and those of earlier alarms, %d samples)%n",
                rule, alarms, affected, done.size(), runs, samples);
        return alarms;
    }
}
