package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.retry.FleetRetryBudget;
import org.cassiabank.source.RetryBudgetSettings;

/**
 * One shard's part of the fleet's retry budget, without a limit where each entry proxy limits its own retries.
 * Instances are not thread-safe.
 */
final class ShardRetryBudget {
    private final Optional<FleetRetryBudget> budget;

    private ShardRetryBudget(Optional<FleetRetryBudget> budget) {
        this.budget = budget;
    }

    /**
     * Creates the part of one of several shards.
     *
     * @param settings the limit of the fleet, empty if there is none
     * @param shardCount the number of shards of the service, at least 1
     * @param nowMillis the time in milliseconds
     * @return the budget
     */
    static ShardRetryBudget create(Optional<RetryBudgetSettings> settings, int shardCount, long nowMillis) {
        return new ShardRetryBudget(Objects.requireNonNull(settings, "settings")
                .map(known -> FleetRetryBudget.create(
                        known.retryRatio(),
                        known.retryAllowancePerWindow() / shardCount,
                        known.retryWindowMillis(),
                        nowMillis)));
    }

    /** Counts a first attempt or spends the budget for an additional one; returns false if it is spent. */
    boolean trySpend(AdmissionRequest request, long nowMillis) {
        if (budget.isEmpty()) {
            return true;
        }
        if (request.hints().isAdditionalAttempt()) {
            return budget.get().trySpend(nowMillis);
        }
        budget.get().recordRequest(nowMillis);
        return true;
    }
}
