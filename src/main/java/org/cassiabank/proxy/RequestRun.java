package org.cassiabank.proxy;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.backend.BackendResult;
import org.cassiabank.backend.NotSent;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.declaration.Selector;
import org.cassiabank.retry.HedgePolicy;
import org.cassiabank.retry.RetryBudget;
import org.cassiabank.retry.RetryContext;
import org.cassiabank.retry.RetryDecision;
import org.cassiabank.retry.RetryPolicy;
import org.cassiabank.retry.RetryReason;

/**
 * Runs one request of a caller: gets slots, makes attempts and decides what the caller is told.
 */
final class RequestRun {
    /** The outlier detection takes four times the usual time for slow; the hedge delay is at least the usual time. */
    private static final long OBSERVATION_FACTOR = 5;

    /** Half a second of attempts at servers that cannot be reached, at the shortest time for a connection. */
    private static final int MOST_TRIES = 5;

    private final CallerRequest request;
    private final Selector selector;
    private final CallerPresence presence;
    private final long deadline;
    private final long startNanos = System.nanoTime();
    private final AttemptExecutor attemptExecutor;
    private final RetryBudget budget;
    private final RequestTrace trace;
    private final Set<String> excluded = new HashSet<>();
    private int attemptCount;
    private int unsentCount;
    private boolean neverRun = true;
    private Optional<ResponseReceived> serverError = Optional.empty();

    private RequestRun(
            CallerRequest request,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            AttemptExecutor attemptExecutor,
            RetryBudget budget,
            RequestTrace trace) {
        this.request = request;
        this.selector = selector;
        this.presence = presence;
        this.deadline = MonotonicClock.millis() + remainingMillis;
        this.attemptExecutor = attemptExecutor;
        this.budget = budget;
        this.trace = trace;
    }

    static RequestRun create(
            CallerRequest request,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            AttemptExecutor attemptExecutor,
            RetryBudget budget,
            RequestTrace trace) {
        return new RequestRun(
                Objects.requireNonNull(request, "request"),
                Objects.requireNonNull(selector, "selector"),
                Objects.requireNonNull(presence, "presence"),
                remainingMillis,
                Objects.requireNonNull(attemptExecutor, "attemptExecutor"),
                Objects.requireNonNull(budget, "budget"),
                Objects.requireNonNull(trace, "trace"));
    }

    /**
     * Runs the request.
     *
     * @return the reply
     */
    RequestResult run() {
        while (true) {
            SlotResult found = attemptExecutor.acquire(selector.service(), admissionRequest(), presence);
            if (found instanceof SlotResult.NoSlot none) {
                trace.add("no-slot " + none.reason() + " of " + none.owner());
                return withoutSlot(none.reason(), none.retryAfterMillis());
            }
            SlotResult.Slot slot = (SlotResult.Slot) found;
            trace.add("slot " + slot.server() + " of " + slot.ownerName());
            long now = MonotonicClock.millis();
            if (now >= deadline) {
                attemptExecutor.release(slot);
                return withoutSlot("deadline", 0);
            }
            if (now >= slot.expiresMillis()) {
                // This process was paused after the grant; the slot may belong to another request by now.
                attemptExecutor.release(slot);
                continue;
            }
            if (presence.isGone()) {
                attemptExecutor.release(slot);
                return withoutSlot(SlotResult.CALLER_GONE, 0);
            }
            if (!attemptExecutor.takesWork(slot.server())) {
                trace.add(slot.server() + " left");
                attemptExecutor.release(slot);
                excluded.add(slot.server());
                continue;
            }
            if (attemptCount == 0) {
                attemptExecutor.addedMicros((System.nanoTime() - startNanos) / 1_000);
            }
            BackendResult result = attempt(slot);
            trace.add(slot.server() + " " + result.attemptResult().label());
            Optional<RequestResult> end = decide(result);
            if (end.isPresent()) {
                return end.get();
            }
        }
    }

    private Optional<RequestResult> decide(BackendResult result) {
        unsentCount += result instanceof NotSent ? 1 : 0;
        // Attempts that reached no server count only so far that a request does not try all servers in vain.
        int counted = attemptCount < MOST_TRIES ? attemptCount - unsentCount : Integer.MAX_VALUE;
        RetryContext context = new RetryContext(
                selector.repeatable(),
                result.attemptResult(),
                neverRun,
                counted,
                deadline - MonotonicClock.millis(),
                selector.limits().maximumAttempts(),
                true);
        neverRun = context.provablyNotRun();
        if (result instanceof ResponseReceived response && response.isServerError()) {
            serverError = Optional.of(response);
        }
        return switch (RetryPolicy.decide(context, budget)) {
            case RetryDecision.DeliverResponse deliver ->
                Optional.of(RequestResult.answered((ResponseReceived) result));
            case RetryDecision.Retry retry -> {
                attemptExecutor.retried(retry.reason());
                yield Optional.empty();
            }
            case RetryDecision.ReportNotRun notRun ->
                Optional.of(RequestResult.notRun(notRun.reason(), attemptExecutor.retryAfterMillis()));
            case RetryDecision.ReportUnknownOutcome unknown -> Optional.of(RequestResult.unknown(unknown.reason()));
        };
    }

    private RequestResult withoutSlot(String reason, long retryAfterMillis) {
        if (neverRun) {
            return RequestResult.notRun(reason, retryAfterMillis);
        }
        // No server is left for another attempt, so the response of the failed one is the best that there is.
        return serverError.map(RequestResult::answered).orElseGet(() -> RequestResult.unknown(reason));
    }

    private BackendResult attempt(SlotResult.Slot slot) {
        attemptCount++;
        excluded.add(slot.server());
        long remaining = deadline - MonotonicClock.millis();
        OptionalLong hedgeDelay =
                HedgePolicy.delayMillis(isHedgeable(), attemptCount, slot.hedgeAfterMillis(), remaining);
        if (hedgeDelay.isEmpty()) {
            return attemptExecutor.send(request, slot, selector, Math.max(1, remaining), presence);
        }
        return attemptWithHedge(slot, remaining, hedgeDelay.getAsLong());
    }

    private boolean isHedgeable() {
        return selector.repeatable() && selector.limits().maximumAttempts() > 1;
    }

    private BackendResult attemptWithHedge(SlotResult.Slot slot, long remaining, long delayMillis) {
        BlockingQueue<BackendResult> results = new LinkedBlockingQueue<>();
        AttemptExecutor.Running first =
                attemptExecutor.start(request, slot, selector, Math.max(1, remaining), presence, results);
        BackendResult result = poll(results, delayMillis);
        if (result != null || presence.isGone() || !budget.trySpend(RetryReason.HEDGE)) {
            return result != null ? result : take(results);
        }
        SlotResult second = attemptExecutor.acquire(selector.service(), admissionRequest(), presence);
        if (!(second instanceof SlotResult.Slot secondSlot) || !results.isEmpty()) {
            if (second instanceof SlotResult.Slot unused) {
                attemptExecutor.release(unused);
            }
            return take(results);
        }
        attemptExecutor.retried(RetryReason.HEDGE);
        trace.add("hedge " + secondSlot.server() + " of " + secondSlot.ownerName());
        attemptCount++;
        excluded.add(secondSlot.server());
        AttemptExecutor.Running other = attemptExecutor.start(
                request, secondSlot, selector, deadline - MonotonicClock.millis(), presence, results);
        presence.onGone(() -> {
            first.cancel();
            other.cancel();
        });
        BackendResult winner = take(results);
        if (!isGood(winner)) {
            neverRun = neverRun && winner.attemptResult().provesNotRun();
            BackendResult later = take(results);
            winner = isGood(later) || later instanceof ResponseReceived ? later : winner;
            neverRun = neverRun && later.attemptResult().provesNotRun();
        }
        other.cancel();
        // A first attempt that is outrun still has to show whether its server is slow; cancelled at once, it would hide
        // a slow or stalled server from the outlier detection.
        attemptExecutor.cancelLater(first, OBSERVATION_FACTOR * delayMillis);
        return winner;
    }

    private AdmissionRequest admissionRequest() {
        return new AdmissionRequest(
                attemptExecutor.entryName(),
                selector.name(),
                selector.name(),
                attemptExecutor.callerIdentity(request),
                selector.costHint(),
                selector.repeatable(),
                selector.limits().urgencyRank(),
                Math.max(0, deadline - MonotonicClock.millis()),
                targetMillis(),
                attemptExecutor.withUnreachable(excluded),
                selector.requiredLabels(),
                attemptExecutor.hints(selector, attemptCount - unsentCount + 1));
    }

    /** Returns what is left of the time in which the caller expects a response, 0 if none is stated or left. */
    private long targetMillis() {
        long target = selector.limits().targetLatencyMillis();
        return target == 0 ? 0 : Math.max(0, target - (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static boolean isGood(BackendResult result) {
        return result instanceof ResponseReceived response && !response.isServerError();
    }

    private static BackendResult poll(BlockingQueue<BackendResult> results, long waitMillis) {
        try {
            return results.poll(waitMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            throw new IllegalStateException("request threads are not interrupted", exception);
        }
    }

    private static BackendResult take(BlockingQueue<BackendResult> results) {
        try {
            return results.take();
        } catch (InterruptedException exception) {
            throw new IllegalStateException("request threads are not interrupted", exception);
        }
    }
}
