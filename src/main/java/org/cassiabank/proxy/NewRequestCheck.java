package org.cassiabank.proxy;

import java.util.Optional;
import java.util.OptionalLong;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.RetryTimes;

/**
 * Refuses requests of a shard before they are scheduled: those that end servers, and additional attempts beyond the
 * retry budget. Instances are not thread-safe.
 */
final class NewRequestCheck {
    /** The retry-after time of refused retries. A request that returns is a first attempt, which needs no token. */
    private static final long RETRY_BUDGET_RETRY_AFTER_MILLIS = 200;

    private final FatalRequestExchange fatalRequests;
    private final ShardRetryBudget retryBudget;
    private boolean spreadRetryTimes;
    private long refusedAttempts;

    NewRequestCheck(FatalRequestExchange fatalRequests, ShardRetryBudget retryBudget) {
        this.fatalRequests = fatalRequests;
        this.retryBudget = retryBudget;
    }

    /** Sets whether retry times are spread and limited by the time left, as fair admission requires. */
    void setSpreadRetryTimes(boolean spread) {
        spreadRetryTimes = spread;
    }

    /** Returns why a request must not be scheduled, or empty if it may; spends a token for an additional attempt. */
    Optional<Refused> refuse(AdmissionRequest request, long nowMillis) {
        OptionalLong refusalMillis = fatalRequests.refusalMillis(
                request.digest(), request.hints().isAdditionalAttempt(), request.remainingMillis());
        if (refusalMillis.isPresent()) {
            return Optional.of(new Refused(RefusalReason.ENDS_SERVERS, refusalMillis.getAsLong()));
        }
        if (retryBudget.trySpend(request, nowMillis)) {
            return Optional.empty();
        }
        long retryAfterMillis = spreadRetryTimes
                ? RetryTimes.retryAfterMillis(
                        RETRY_BUDGET_RETRY_AFTER_MILLIS, request.remainingMillis(), request.digest(), ++refusedAttempts)
                : RETRY_BUDGET_RETRY_AFTER_MILLIS;
        return Optional.of(new Refused(RefusalReason.RETRY_BUDGET, retryAfterMillis));
    }
}
