package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against ejections of healthy servers. Load bursts, faults of the whole service, cold starts and pauses can
 * look like a faulty server, and an ejection then reduces the capacity of a service under stress.
 */
class FalseAlarmTest {
    private static final long RUN_COUNT = Long.getLong("cassiabank.health.noise", 3);
    // The seeds of runs in which earlier versions ejected a healthy server.
    private static final long[] EARLIER_ALARM_SEEDS = {410, 418, 450, 601};
    private static final long HOUR_MILLIS = 3_600_000;

    @Test
    void noHealthyServerIsEjectedInAnHourOfNoise() {
        assertThat(countFalseAlarms("sequential test", RUN_COUNT, () -> new ServiceSimulation.MonitorRule(0)))
                .isZero();
    }

    @Test
    void fiveConsecutiveFailuresEjectHealthyServersInTheSameNoise() {
        long runCount = Math.max(2, RUN_COUNT / 10);
        assertThat(countFalseAlarms("5 consecutive failures", runCount, ServiceSimulation.ConsecutiveFailureRule::new))
                .isPositive();
    }

    private static long countFalseAlarms(
            String ruleName, long runCount, Supplier<ServiceSimulation.EjectionRule> ruleFactory) {
        List<ServiceSimulation> simulations = LongStream.concat(
                        LongStream.rangeClosed(1, runCount), LongStream.of(EARLIER_ALARM_SEEDS))
                .distinct()
                .parallel()
                .mapToObj(seed -> {
                    int servers = new SplittableRandom(seed).nextInt(8, 21);
                    ServiceSimulation simulation = new ServiceSimulation(
                            seed, servers, 6, 20, false, ruleFactory.get(), new HealthyNoise(-seed, servers));
                    simulation.run(0, HOUR_MILLIS);
                    return simulation;
                })
                .toList();
        long alarmCount = simulations.stream()
                .mapToLong(simulation -> simulation.ejections().size())
                .sum();
        long affectedRuns = simulations.stream()
                .filter(simulation -> !simulation.ejections().isEmpty())
                .count();
        long sampleCount = simulations.stream()
                .mapToLong(ServiceSimulation::completedAttempts)
                .sum();
        System.out.printf(
                "false alarms, %s: %d in %d of %d runs (seeds 1 to %d and those of earlier alarms, %d samples)%n",
                ruleName, alarmCount, affectedRuns, simulations.size(), runCount, sampleCount);
        return alarmCount;
    }
}
