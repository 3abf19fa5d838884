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
import org.cassiabank.health.RequestDigest;
import org.cassiabank.retry.HedgePolicy;
import org.cassiabank.retry.RetryBudget;
import org.cassiabank.retry.RetryContext;
import org.cassiabank.retry.RetryDecision;
import org.cassiabank.retry.RetryPolicy;
import org.cassiabank.retry.RetryReason;

/**
 * Runs one request of a caller: acquires slots, makes attempts, retries and hedges them, and determines the result.
 */
final class RequestRun {
    /** The reason of a refusal when neither this daemon nor a peer that it asked reaches a server. */
    static final String NO_SERVER_REACHED = "no-server-reached";

    /**
     * The time for which the first attempt of a hedged request runs on after its hedge won, as a multiple of the hedge
     * delay. The outlier detection counts a latency of four times the usual one as slow, and the hedge delay is at
     * least the usual latency.
     */
    private static final long OBSERVATION_HEDGE_DELAYS = 5;

    /**
     * The number of attempts, including those that reached no server, after which a request is not retried. At the
     * shortest connect timeout, attempts at unreachable servers add up to half a second.
     */
    private static final int MAXIMUM_ATTEMPTS_INCLUDING_NOT_SENT = 5;

    /** The attempts that reach no server after which a peer is asked, which may have a path to one. */
    private static final int NOT_SENT_BEFORE_FORWARDING = 2;

    /** The path is tried again within this time. */
    private static final long CUT_OFF_RETRY_AFTER_MILLIS = 500;

    /** Replaced when the key of the request belongs to another customer by now. */
    private CheckedRequest request;

    private final CustomerCheck customerCheck;
    private final Selector selector;
    private final CallerPresence presence;
    /** The deadline in milliseconds, on the monotonic clock. */
    private final long deadlineMillis;

    private final long startNanos = System.nanoTime();
    private final AttemptExecutor attemptExecutor;
    private final PlannedStop plannedStop;
    private final RetryBudget retryBudget;
    /** Empty for a request that a peer has passed on. */
    private final Optional<RequestForwarder> forwarder;

    private final RequestTrace trace;
    private final RequestDigest digest;
    private final Set<String> excludedServers = new HashSet<>();
    /** The servers that the latest request for a slot left out because this entry proxy could not reach them lately. */
    private int avoidedServerCount;
    /** Attempts of the peer that passed the request on are included. */
    private int attemptCount;

    private int notSentCount;
    private boolean provablyNotRun = true;
    private Optional<ResponseReceived> lastServerError = Optional.empty();

    private RequestRun(
            CheckedRequest request,
            CustomerCheck customerCheck,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            int formerAttempts,
            AttemptExecutor attemptExecutor,
            PlannedStop plannedStop,
            RetryBudget retryBudget,
            Optional<RequestForwarder> forwarder,
            RequestTrace trace) {
        this.request = request;
        this.customerCheck = customerCheck;
        this.selector = selector;
        this.presence = presence;
        this.deadlineMillis = MonotonicClock.millis() + remainingMillis;
        this.attemptExecutor = attemptExecutor;
        this.plannedStop = plannedStop;
        this.retryBudget = retryBudget;
        this.forwarder = forwarder;
        this.attemptCount = formerAttempts;
        this.trace = trace;
        this.digest = request.request().digest(attemptExecutor.customerIdentity(request), selector.host());
        trace.recordDigest(digest);
    }

    /** Creates a run of a request that reached this daemon from its caller. */
    static RequestRun create(
            CheckedRequest request,
            CustomerCheck customerCheck,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            AttemptExecutor attemptExecutor,
            PlannedStop plannedStop,
            RetryBudget retryBudget,
            RequestForwarder forwarder,
            RequestTrace trace) {
        return new RequestRun(
                Objects.requireNonNull(request, "request"),
                Objects.requireNonNull(customerCheck, "customerCheck"),
                Objects.requireNonNull(selector, "selector"),
                Objects.requireNonNull(presence, "presence"),
                remainingMillis,
                0,
                Objects.requireNonNull(attemptExecutor, "attemptExecutor"),
                Objects.requireNonNull(plannedStop, "plannedStop"),
                Objects.requireNonNull(retryBudget, "retryBudget"),
                Optional.of(forwarder),
                Objects.requireNonNull(trace, "trace"));
    }

    /** Creates a run of a request that a peer has passed on after some attempts of its own. */
    static RequestRun createForwarded(
            CheckedRequest request,
            CustomerCheck customerCheck,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            int formerAttempts,
            AttemptExecutor attemptExecutor,
            PlannedStop plannedStop,
            RetryBudget retryBudget,
            RequestTrace trace) {
        return new RequestRun(
                Objects.requireNonNull(request, "request"),
                Objects.requireNonNull(customerCheck, "customerCheck"),
                Objects.requireNonNull(selector, "selector"),
                Objects.requireNonNull(presence, "presence"),
                remainingMillis,
                formerAttempts,
                Objects.requireNonNull(attemptExecutor, "attemptExecutor"),
                Objects.requireNonNull(plannedStop, "plannedStop"),
                Objects.requireNonNull(retryBudget, "retryBudget"),
                Optional.empty(),
                Objects.requireNonNull(trace, "trace"));
    }

    /**
     * Runs the request on the calling thread until it has a result or no further attempt is allowed.
     *
     * @return the result
     */
    RequestResult run() {
        while (true) {
            if (currentRequest().isEmpty()) {
                return resultOfWithdrawnKey();
            }
            if (comesTooLate()) {
                return resultWithoutSlot(PlannedStop.REASON, PlannedStop.RETRY_AFTER_MILLIS);
            }
            if (attemptExecutor.isCutOff()) {
                return forward()
                        .orElseGet(() -> currentRequest().isPresent()
                                ? resultWithoutSlot(NO_SERVER_REACHED, CUT_OFF_RETRY_AFTER_MILLIS)
                                : resultOfWithdrawnKey());
            }
            SlotResult slotResult = attemptExecutor.acquire(selector.service(), admissionRequest(), this::isAbandoned);
            if (slotResult instanceof SlotResult.NoSlot noSlot) {
                if (noSlot.reason().equals(SlotResult.ABANDONED) && !presence.isGone()) {
                    continue;
                }
                trace.addStep("no-slot " + noSlot.reason() + " of " + noSlot.ownerName());
                return resultWithoutSlot(noSlot.reason(), noSlot.retryAfterMillis());
            }
            SlotResult.Slot slot = (SlotResult.Slot) slotResult;
            trace.addStep("slot " + slot.serverName() + " of " + slot.ownerName() + describeAvoidedServers());
            Optional<RequestResult> resultInsteadOfAttempt = resultInsteadOfAttempt();
            if (resultInsteadOfAttempt.isPresent()) {
                attemptExecutor.release(slot);
                return resultInsteadOfAttempt.get();
            }
            if (!isUsable(slot)) {
                attemptExecutor.release(slot);
                continue;
            }
            if (attemptCount == 0) {
                attemptExecutor.recordAddedLatencyMicros((System.nanoTime() - startNanos) / 1_000);
            }
            BackendResult backendResult = makeAttempt(slot);
            trace.addResult(slot.serverName(), backendResult);
            recordResult(backendResult);
            Optional<RequestResult> requestResult = shouldForward(backendResult) ? forward() : Optional.empty();
            if (requestResult.isEmpty()) {
                requestResult = resultUnlessRetried(backendResult);
            }
            if (requestResult.isPresent()) {
                return requestResult.get();
            }
        }
    }

    /** Returns the result of a request that must not be sent although it has a slot; empty if it may be sent. */
    private Optional<RequestResult> resultInsteadOfAttempt() {
        if (MonotonicClock.millis() >= deadlineMillis) {
            return Optional.of(resultWithoutSlot("deadline", 0));
        }
        if (currentRequest().isEmpty()) {
            return Optional.of(resultOfWithdrawnKey());
        }
        return presence.isGone() ? Optional.of(resultWithoutSlot(SlotResult.ABANDONED, 0)) : Optional.empty();
    }

    private boolean isUsable(SlotResult.Slot slot) {
        // After a pause of this process the slot may have been granted to another request.
        if (MonotonicClock.millis() >= slot.leaseExpiryMillis() || comesTooLate()) {
            return false;
        }
        if (!attemptExecutor.acceptsRequests(slot.serverName())) {
            trace.addStep(slot.serverName() + " left");
            excludedServers.add(slot.serverName());
            return false;
        }
        return true;
    }

    /** Tells whether this daemon is being stopped and would end before the request is answered. */
    private boolean comesTooLate() {
        long nowMillis = MonotonicClock.millis();
        return plannedStop.comesTooLate(selector, Math.max(0, deadlineMillis - nowMillis), nowMillis);
    }

    private boolean isAbandoned() {
        return presence.isGone() || comesTooLate() || currentRequest().isEmpty();
    }

    /** Looks the key up again; empty if the request is no longer admitted, so that nothing more may be sent. */
    private Optional<CheckedRequest> currentRequest() {
        Optional<CheckedRequest> rechecked = customerCheck.recheck(request, selector);
        rechecked.ifPresent(found -> request = found);
        return rechecked;
    }

    private RequestResult resultOfWithdrawnKey() {
        customerCheck.recordWithdrawn();
        return resultWithoutSlot(CustomerCheck.UNKNOWN_KEY, 0);
    }

    /** Tells whether no further attempt of this daemon is of use, but one of a peer may be. */
    private boolean shouldForward(BackendResult result) {
        boolean mayRunAgain = selector.repeatable() || provablyNotRun;
        boolean pathLost = attemptExecutor.isCutOff() && !(result instanceof ResponseReceived);
        boolean noServerReached = result instanceof NotSent && notSentCount >= NOT_SENT_BEFORE_FORWARDING;
        return mayRunAgain && !presence.isGone() && (pathLost || noServerReached);
    }

    /** Passes the request on to a peer; empty if a peer has passed it on to this daemon, or if no peer takes it. */
    private Optional<RequestResult> forward() {
        int attemptsThatMayHaveArrived = Math.max(0, attemptCount - notSentCount);
        if (forwarder.isEmpty()) {
            return Optional.empty();
        }
        RequestForwarder.ForwardingResult forwarded = forwarder
                .get()
                .forward(
                        this::currentRequest,
                        selector.repeatable(),
                        attemptsThatMayHaveArrived,
                        deadlineMillis,
                        presence,
                        trace);
        provablyNotRun = provablyNotRun && !forwarded.mayHaveRun();
        // A peer vouches for its own attempts only.
        return forwarded
                .result()
                .map(result -> result instanceof RequestResult.NotRun notRun
                        ? resultWithoutSlot(notRun.reason(), notRun.retryAfterMillis())
                        : result);
    }

    private void recordResult(BackendResult result) {
        notSentCount += result instanceof NotSent ? 1 : 0;
        provablyNotRun = provablyNotRun && result.attemptResult().provesNotRun();
        if (result instanceof ResponseReceived response && response.isServerError()) {
            lastServerError = Optional.of(response);
        }
    }

    private Optional<RequestResult> resultUnlessRetried(BackendResult result) {
        // Attempts that reached no server are not counted, up to a limit that keeps a request from trying all servers.
        int countedAttempts =
                attemptCount < MAXIMUM_ATTEMPTS_INCLUDING_NOT_SENT ? attemptCount - notSentCount : Integer.MAX_VALUE;
        RetryContext context = new RetryContext(
                selector.repeatable(),
                result.attemptResult(),
                provablyNotRun,
                countedAttempts,
                deadlineMillis - MonotonicClock.millis(),
                selector.limits().maximumAttempts(),
                true);
        return switch (RetryPolicy.decide(context, retryBudget)) {
            case RetryDecision.DeliverResponse deliver ->
                Optional.of(RequestResult.delivered((ResponseReceived) result));
            case RetryDecision.Retry retry -> {
                attemptExecutor.recordRetry(retry.reason());
                yield Optional.empty();
            }
            case RetryDecision.ReportNotRun notRun ->
                Optional.of(RequestResult.notRun(notRun.reason(), attemptExecutor.retryAfterMillis()));
            case RetryDecision.ReportUnknownOutcome unknown -> Optional.of(RequestResult.unknown(unknown.reason()));
        };
    }

    private RequestResult resultWithoutSlot(String reason, long retryAfterMillis) {
        if (provablyNotRun) {
            return RequestResult.notRun(reason, retryAfterMillis);
        }
        // No slot is available for another attempt, so the best available response is the server error of an earlier
        // one.
        return lastServerError.map(RequestResult::delivered).orElseGet(() -> RequestResult.unknown(reason));
    }

    private BackendResult makeAttempt(SlotResult.Slot slot) {
        attemptCount++;
        excludedServers.add(slot.serverName());
        long remainingMillis = deadlineMillis - MonotonicClock.millis();
        OptionalLong hedgeDelayMillis =
                HedgePolicy.delayMillis(isHedgeable(), attemptCount, slot.hedgeDelayMillis(), remainingMillis);
        if (hedgeDelayMillis.isEmpty()) {
            return attemptExecutor.send(request, slot, selector, Math.max(1, remainingMillis), presence);
        }
        return attemptWithHedge(slot, remainingMillis, hedgeDelayMillis.getAsLong());
    }

    private boolean isHedgeable() {
        return selector.repeatable() && selector.limits().maximumAttempts() > 1;
    }

    private BackendResult attemptWithHedge(SlotResult.Slot slot, long remainingMillis, long hedgeDelayMillis) {
        BlockingQueue<BackendResult> results = new LinkedBlockingQueue<>();
        AttemptExecutor.RunningAttempt firstAttempt =
                attemptExecutor.start(request, slot, selector, Math.max(1, remainingMillis), presence, results);
        BackendResult result = pollResult(results, hedgeDelayMillis);
        if (result != null || presence.isGone() || !retryBudget.trySpend(RetryReason.HEDGE)) {
            return result != null ? result : awaitResult(results);
        }
        SlotResult hedgeSlotResult = attemptExecutor.acquire(selector.service(), admissionRequest(), this::isAbandoned);
        if (!(hedgeSlotResult instanceof SlotResult.Slot hedgeSlot)
                || !results.isEmpty()
                || !attemptExecutor.acceptsRequests(hedgeSlot.serverName())
                || currentRequest().isEmpty()) {
            if (hedgeSlotResult instanceof SlotResult.Slot unusedSlot) {
                attemptExecutor.release(unusedSlot);
            }
            return awaitResult(results);
        }
        attemptExecutor.recordRetry(RetryReason.HEDGE);
        trace.addStep("hedge " + hedgeSlot.serverName() + " of " + hedgeSlot.ownerName());
        attemptCount++;
        excludedServers.add(hedgeSlot.serverName());
        AttemptExecutor.RunningAttempt hedgeAttempt = attemptExecutor.start(
                request, hedgeSlot, selector, deadlineMillis - MonotonicClock.millis(), presence, results);
        presence.onGone(() -> {
            firstAttempt.cancel();
            hedgeAttempt.cancel();
        });
        BackendResult chosenResult = awaitResult(results);
        if (!isSuccessful(chosenResult)) {
            provablyNotRun = provablyNotRun && chosenResult.attemptResult().provesNotRun();
            BackendResult laterResult = awaitResult(results);
            chosenResult =
                    isSuccessful(laterResult) || laterResult instanceof ResponseReceived ? laterResult : chosenResult;
            provablyNotRun = provablyNotRun && laterResult.attemptResult().provesNotRun();
        }
        hedgeAttempt.cancel();
        // The first attempt runs on after the hedge has won, so that its latency shows whether its server is slow. An
        // immediate cancellation would hide a slow or stalled server from the outlier detection.
        attemptExecutor.cancelAfter(firstAttempt, OBSERVATION_HEDGE_DELAYS * hedgeDelayMillis);
        return chosenResult;
    }

    private String describeAvoidedServers() {
        return avoidedServerCount == 0 ? "" : " avoiding " + avoidedServerCount;
    }

    private AdmissionRequest admissionRequest() {
        Set<String> unusableServers = attemptExecutor.addUnreachableServers(excludedServers);
        avoidedServerCount = unusableServers.size() - excludedServers.size();
        return new AdmissionRequest(
                        attemptExecutor.entryName(),
                        selector.name(),
                        selector.name(),
                        attemptExecutor.customerIdentity(request),
                        selector.costHint(),
                        selector.repeatable(),
                        attemptExecutor.urgencyRank(request, selector),
                        Math.max(0, deadlineMillis - MonotonicClock.millis()),
                        remainingTargetMillis(),
                        unusableServers,
                        selector.requiredLabels(),
                        attemptExecutor.placementHints(selector, attemptCount - notSentCount + 1),
                        digest)
                .withCustomerWeight(attemptExecutor.customerWeight(attemptExecutor.customerIdentity(request)))
                .withStatedTargetMillis(selector.limits().targetLatencyMillis());
    }

    /** Returns the remaining part of the target latency in milliseconds, 0 if none is declared or none remains. */
    private long remainingTargetMillis() {
        long targetLatencyMillis = selector.limits().targetLatencyMillis();
        return targetLatencyMillis == 0
                ? 0
                : Math.max(0, targetLatencyMillis - (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static boolean isSuccessful(BackendResult result) {
        return result instanceof ResponseReceived response && !response.isServerError();
    }

    private static BackendResult pollResult(BlockingQueue<BackendResult> results, long waitMillis) {
        try {
            return results.poll(waitMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            throw new IllegalStateException("request threads are not interrupted", exception);
        }
    }

    private static BackendResult awaitResult(BlockingQueue<BackendResult> results) {
        try {
            return results.take();
        } catch (InterruptedException exception) {
            throw new IllegalStateException("request threads are not interrupted", exception);
        }
    }
}
