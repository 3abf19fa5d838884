package org.cassiabank.proxy;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cassiabank.admission.SlotAsk;
import org.cassiabank.backend.Answered;
import org.cassiabank.backend.BackendResult;
import org.cassiabank.backend.NotSent;
import org.cassiabank.declaration.Selector;
import org.cassiabank.retry.AttemptPolicy;
import org.cassiabank.retry.AttemptState;
import org.cassiabank.retry.HedgePolicy;
import org.cassiabank.retry.NextStep;
import org.cassiabank.retry.RetryBudget;
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
    private final Attempts attempts;
    private final RetryBudget budget;
    private final RequestTrace trace;
    private final Set<String> excluded = new HashSet<>();
    private int attemptCount;
    private int unsentCount;
    private boolean neverRun = true;
    private Optional<Answered> serverError = Optional.empty();

    private RequestRun(
            CallerRequest request,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            Attempts attempts,
            RetryBudget budget,
            RequestTrace trace) {
        this.request = request;
        this.selector = selector;
        this.presence = presence;
        this.deadline = MonotonicClock.millis() + remainingMillis;
        this.attempts = attempts;
        this.budget = budget;
        this.trace = trace;
    }

    static RequestRun create(
            CallerRequest request,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            Attempts attempts,
            RetryBudget budget,
            RequestTrace trace) {
        return new RequestRun(
                Objects.requireNonNull(request, "request"),
                Objects.requireNonNull(selector, "selector"),
                Objects.requireNonNull(presence, "presence"),
                remainingMillis,
                Objects.requireNonNull(attempts, "attempts"),
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
            SlotResult found = attempts.acquire(selector.service(), ask(), presence);
            if (found instanceof SlotResult.NoSlot none) {
                trace.add("no-slot " + none.reason() + " of " + none.owner());
                return withoutSlot(none.reason(), none.retryAfterMillis());
            }
            SlotResult.Slot slot = (SlotResult.Slot) found;
            trace.add("slot " + slot.server() + " of " + slot.ownerName());
            long now = MonotonicClock.millis();
            if (now >= deadline) {
                attempts.release(slot);
                return withoutSlot("deadline", 0);
            }
            if (now >= slot.expiresMillis()) {
                // This process was paused after the grant; the slot may belong to another request by now.
                attempts.release(slot);
                continue;
            }
            if (presence.isGone()) {
                attempts.release(slot);
                return withoutSlot(SlotResult.CALLER_GONE, 0);
            }
            if (!attempts.takesWork(slot.server())) {
                trace.add(slot.server() + " left");
                attempts.release(slot);
                excluded.add(slot.server());
                continue;
            }
            if (attemptCount == 0) {
                attempts.addedMicros((System.nanoTime() - startNanos) / 1_000);
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
        AttemptState state = new AttemptState(
                selector.repeatable(),
                result.attemptResult(),
                neverRun,
                counted,
                deadline - MonotonicClock.millis(),
                selector.limits().maximumAttempts(),
                true);
        neverRun = state.neverRun();
        if (result instanceof Answered answered && answered.failed()) {
            serverError = Optional.of(answered);
        }
        return switch (AttemptPolicy.next(state, budget)) {
            case NextStep.Deliver deliver -> Optional.of(RequestResult.answered((Answered) result));
            case NextStep.Retry retry -> {
                attempts.retried(retry.reason());
                yield Optional.empty();
            }
            case NextStep.RefuseNotRun refuse ->
                Optional.of(RequestResult.notRun(refuse.reason(), attempts.retryAfterMillis()));
            case NextStep.AnswerUnknown unknown -> Optional.of(RequestResult.unknown(unknown.reason()));
        };
    }

    private RequestResult withoutSlot(String reason, long retryAfterMillis) {
        if (neverRun) {
            return RequestResult.notRun(reason, retryAfterMillis);
        }
        // No server is left for another attempt, so the answer of the failed one is the best that there is.
        return serverError.map(RequestResult::answered).orElseGet(() -> RequestResult.unknown(reason));
    }

    private BackendResult attempt(SlotResult.Slot slot) {
        attemptCount++;
        excluded.add(slot.server());
        long remaining = deadline - MonotonicClock.millis();
        OptionalLong hedgeDelay =
                HedgePolicy.delayMillis(isHedgeable(), attemptCount, slot.hedgeAfterMillis(), remaining);
        if (hedgeDelay.isEmpty()) {
            return attempts.send(request, slot, selector, Math.max(1, remaining), presence);
        }
        return attemptWithHedge(slot, remaining, hedgeDelay.getAsLong());
    }

    private boolean isHedgeable() {
        return selector.repeatable() && selector.limits().maximumAttempts() > 1;
    }

    private BackendResult attemptWithHedge(SlotResult.Slot slot, long remaining, long delayMillis) {
        BlockingQueue<BackendResult> results = new LinkedBlockingQueue<>();
        Attempts.Running first = attempts.start(request, slot, selector, Math.max(1, remaining), presence, results);
        BackendResult result = poll(results, delayMillis);
        if (result != null || presence.isGone() || !budget.trySpend(RetryReason.HEDGE)) {
            return result != null ? result : take(results);
        }
        SlotResult second = attempts.acquire(selector.service(), ask(), presence);
        if (!(second instanceof SlotResult.Slot secondSlot) || !results.isEmpty()) {
            if (second instanceof SlotResult.Slot unused) {
                attempts.release(unused);
            }
            return take(results);
        }
        attempts.retried(RetryReason.HEDGE);
        trace.add("hedge " + secondSlot.server() + " of " + secondSlot.ownerName());
        attemptCount++;
        excluded.add(secondSlot.server());
        Attempts.Running other =
                attempts.start(request, secondSlot, selector, deadline - MonotonicClock.millis(), presence, results);
        presence.onGone(() -> {
            first.cancel();
            other.cancel();
        });
        BackendResult winner = take(results);
        if (!isGood(winner)) {
            neverRun = neverRun && winner.attemptResult().provesNotRun();
            BackendResult later = take(results);
            winner = isGood(later) || later instanceof Answered ? later : winner;
            neverRun = neverRun && later.attemptResult().provesNotRun();
        }
        other.cancel();
        // A first attempt that is outrun still has to show whether its server is slow; cancelled at once, it would hide
        // a slow or stalled server from the outlier detection.
        attempts.cancelLater(first, OBSERVATION_FACTOR * delayMillis);
        return winner;
    }

    private SlotAsk ask() {
        return new SlotAsk(
                attempts.entryName(),
                selector.name(),
                selector.name(),
                attempts.callerIdentity(request),
                selector.cost(),
                selector.repeatable(),
                selector.limits().urgency(),
                Math.max(0, deadline - MonotonicClock.millis()),
                targetMillis(),
                attempts.withUnreachable(excluded),
                selector.servers(),
                attempts.hints(selector, attemptCount - unsentCount + 1));
    }

    /** Returns what is left of the time in which the caller expects an answer, 0 if none is stated or left. */
    private long targetMillis() {
        long target = selector.limits().targetMillis();
        return target == 0 ? 0 : Math.max(0, target - (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static boolean isGood(BackendResult result) {
        return result instanceof Answered answered && !answered.failed();
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
