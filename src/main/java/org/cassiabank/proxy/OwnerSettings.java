package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.health.HealthSettings;
import org.cassiabank.source.RetryBudgetSettings;

/**
 * How the owner of a shard decides.
 *
 * @param scheduler the settings of the scheduler
 * @param health the settings of the health monitor
 * @param retryBudgetSettings what the fleet is allowed; empty if each entry limits its own retries
 */
record OwnerSettings(
        SchedulerSettings scheduler, HealthSettings health, Optional<RetryBudgetSettings> retryBudgetSettings) {

    /**
     * Checks that no component is null.
     */
    OwnerSettings {
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(retryBudgetSettings, "retryBudgetSettings");
    }

    static OwnerSettings defaults() {
        return new OwnerSettings(SchedulerSettings.defaults(), HealthSettings.defaults(), Optional.empty());
    }
}
