package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.health.HealthSettings;
import org.cassiabank.source.RetryBudgetSettings;

/**
 * The settings by which the owner of a shard grants slots, evaluates servers and limits retries.
 *
 * @param scheduler the settings of the scheduler
 * @param health the settings of the health monitor
 * @param retryBudgetSettings the limit of the fleet's retries; empty if each entry proxy limits its own
 * @param departureMillis the time for which an entry proxy that has ended its registration may still serve the requests
 *     that it has, in milliseconds
 */
record OwnerSettings(
        SchedulerSettings scheduler,
        HealthSettings health,
        Optional<RetryBudgetSettings> retryBudgetSettings,
        long departureMillis) {

    OwnerSettings {
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(retryBudgetSettings, "retryBudgetSettings");
        if (departureMillis < 0) {
            throw new IllegalArgumentException("departureMillis must not be negative: " + departureMillis);
        }
    }

    static OwnerSettings defaults() {
        return new OwnerSettings(SchedulerSettings.defaults(), HealthSettings.defaults(), Optional.empty(), 0);
    }
}
