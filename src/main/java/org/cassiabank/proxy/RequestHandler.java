package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimDecision;
import org.cassiabank.once.RecordedResponse;
import org.cassiabank.retry.AttemptResult;
import org.cassiabank.retry.RetryBudget;
import org.cassiabank.source.StateConfirmation;

/**
 * Answers requests of callers: finds the selector, claims the key of an unrepeatable request, and runs the request.
 */
final class RequestHandler implements CallerHandler, ForwardedRequestHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;
    private static final long MAXIMUM_DEADLINE_MILLIS = TimeUnit.MINUTES.toMillis(30);

    /**
     * The longest deadline of a claimed request. It is half the time for which keepers keep a claim, so that an entry
     * proxy that was paused does not send a request whose claim the keepers have dropped.
     */
    private static final long MAXIMUM_CLAIMED_DEADLINE_MILLIS = TimeUnit.MINUTES.toMillis(5);

    /** When the store answers, a daemon that has just started gets the state of the fleet within this time. */
    private static final long MAXIMUM_START_WAIT_MILLIS = 200;

    private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 500;
    private static final long CLAIM_RETRY_AFTER_MILLIS = 500;

    /** The retries that each request adds to the budget of its service. */
    private static final double RETRY_BUDGET_RATIO = 0.1;

    /** The largest number of unused retries that are kept for later. */
    private static final int RETRY_BUDGET_CAPACITY = 10;

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int UNPROCESSABLE_CONTENT = 422;

    private final FleetState fleet;
    private final AttemptExecutor attemptExecutor;
    private final PlannedStop plannedStop;
    private final RequestForwarder forwarder;
    private final ClaimClient claimClient;
    private final ProxyMetrics metrics;
    private final HeaderConventions conventions;
    private final CustomerCheck customerCheck;
    private final boolean ownersLimitRetries;
    private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

    private RequestHandler(
            FleetState fleet,
            AttemptExecutor attemptExecutor,
            PlannedStop plannedStop,
            RequestForwarder forwarder,
            ClaimClient claims,
            ProxyMetrics metrics,
            HeaderConventions conventions,
            CustomerCheck customerCheck,
            boolean ownersLimitRetries) {
        this.fleet = fleet;
        this.attemptExecutor = attemptExecutor;
        this.plannedStop = plannedStop;
        this.forwarder = forwarder;
        this.claimClient = claims;
        this.metrics = metrics;
        this.conventions = conventions;
        this.customerCheck = customerCheck;
        this.ownersLimitRetries = ownersLimitRetries;
    }

    static RequestHandler create(
            FleetState fleet,
            AttemptExecutor attemptExecutor,
            PlannedStop plannedStop,
            RequestForwarder forwarder,
            ClaimClient claims,
            ProxyMetrics metrics,
            HeaderConventions conventions,
            boolean ownersLimitRetries) {
        return new RequestHandler(
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(attemptExecutor, "attemptExecutor"),
                Objects.requireNonNull(plannedStop, "plannedStop"),
                Objects.requireNonNull(forwarder, "forwarder"),
                Objects.requireNonNull(claims, "claims"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(conventions, "conventions"),
                CustomerCheck.create(fleet, conventions, metrics),
                ownersLimitRetries);
    }

    @Override
    public CallerReply handle(CallerRequest request, CallerPresence presence) {
        String requestIdHeader = conventions.requestIdHeader();
        Optional<String> requestId = request.header(requestIdHeader);
        RequestTrace trace = RequestTrace.start(requestId.orElse(""));
        CallerReply reply = handleTraced(request, presence, trace);
        trace.log(reply);
        metrics.recordRequestDuration(reply.firstHeader(CallerReply.OUTCOME_HEADER), trace.elapsedMillis());
        // Attempts may have identifiers of their own, so the identifier that the caller sent is restored in the reply.
        return requestId.map(value -> reply.withHeader(requestIdHeader, value)).orElse(reply);
    }

    @Override
    public CallerReply replyWithoutResult(CallerRequest request, String reason) {
        String requestIdHeader = conventions.requestIdHeader();
        CallerReply reply = CallerReply.unknown(reason);
        return request.header(requestIdHeader)
                .map(value -> reply.withHeader(requestIdHeader, value))
                .orElse(reply);
    }

    private CallerReply handleTraced(CallerRequest request, CallerPresence presence, RequestTrace trace) {
        try {
            return route(request, presence, trace);
        } catch (RuntimeException | Error failure) {
            BackgroundTasks.recordFailure("request", failure);
            metrics.recordUnknownOutcome("internal-error");
            return CallerReply.unknown("internal-error");
        }
    }

    private CallerReply route(CallerRequest request, CallerPresence presence, RequestTrace trace) {
        boolean ready = fleet.awaitReady(MAXIMUM_START_WAIT_MILLIS);
        // Before the view: later evidence would be about a newer view.
        Optional<StateConfirmation> confirmation = fleet.confirmation();
        FleetView view = fleet.view();
        trace.recordView(view, confirmation);
        if (!ready) {
            return notRunReply(
                    CallerReply.SERVICE_UNAVAILABLE, "no-configuration", NO_CONFIGURATION_RETRY_AFTER_MILLIS);
        }
        RandomGenerator random = ThreadLocalRandom.current();
        CheckedRequest checkedRequest = customerCheck.identify(view, request);
        trace.recordCustomer(checkedRequest.customer());
        Optional<Selector> selector = view.router()
                .route(request.host(), request.method(), request.path(), checkedRequest.routingCustomer(), random);
        if (selector.isEmpty()) {
            return refuseByConfiguration(NOT_FOUND, "no-selector", confirmation);
        }
        if (!customerCheck.admits(checkedRequest, selector.get())) {
            return refuseByConfiguration(UNAUTHORIZED, CustomerCheck.UNKNOWN_KEY, confirmation);
        }
        long deadlineMillis = view.service(selector.get().service())
                .map(ServiceDeclaration::defaultDeadlineMillis)
                .orElse(0L);
        Optional<String> statedDeadline = request.header(conventions.deadlineHeader());
        if (statedDeadline.isPresent()) {
            try {
                deadlineMillis = Math.min(Long.parseLong(statedDeadline.get().strip()), MAXIMUM_DEADLINE_MILLIS);
            } catch (NumberFormatException exception) {
                return notRunReply(BAD_REQUEST, "malformed-deadline", 0);
            }
        }
        deadlineMillis = selector.get().limits().capMillis(deadlineMillis);
        trace.recordRoute(selector.get().name(), deadlineMillis);
        presence.awaitReplyFor(deadlineMillis);
        if (!BackendRequests.canForward(checkedRequest.request(), conventions)) {
            return notRunReply(BAD_REQUEST, "malformed-request", 0);
        }
        Optional<String> idempotencyKey = request.header("idempotency-key");
        return selector.get().repeatable() || idempotencyKey.isEmpty() || !claimClient.isEnabled()
                ? toReply(run(checkedRequest, selector.get(), presence, deadlineMillis, trace), selector.get())
                : claimAndRun(checkedRequest, selector.get(), presence, deadlineMillis, idempotencyKey.get(), trace);
    }

    /**
     * Refuses what the configuration does not allow: for good if no newer one may allow it, otherwise for now.
     */
    private CallerReply refuseByConfiguration(int status, String reason, Optional<StateConfirmation> confirmation) {
        boolean mayBeAllowed = confirmation
                .filter(known -> known.mayLackChanges(MonotonicClock.millis()))
                .isPresent();
        return mayBeAllowed
                ? notRunReply(
                        CallerReply.SERVICE_UNAVAILABLE,
                        "configuration-unconfirmed",
                        NO_CONFIGURATION_RETRY_AFTER_MILLIS)
                : notRunReply(status, reason, 0);
    }

    private RequestResult run(
            CheckedRequest request,
            Selector selector,
            CallerPresence presence,
            long deadlineMillis,
            RequestTrace trace) {
        RetryBudget budget = retryBudgets.computeIfAbsent(selector.service(), service -> newBudget());
        budget.recordRequest();
        RequestResult result = RequestRun.create(
                        request,
                        customerCheck,
                        selector,
                        presence,
                        deadlineMillis,
                        attemptExecutor,
                        plannedStop,
                        budget,
                        forwarder,
                        trace)
                .run();
        if (result instanceof RequestResult.Delivered) {
            plannedStop.recordResponse(selector, trace.elapsedMillis());
        }
        return result;
    }

    @Override
    public Optional<RequestResult> runForwarded(
            CallerRequest request,
            long remainingMillis,
            int formerAttempts,
            OptionalLong configurationRevision,
            Optional<String> customer,
            CallerPresence presence) {
        RequestTrace trace =
                RequestTrace.start(request.header(conventions.requestIdHeader()).orElse(""));
        FleetView view = fleet.view();
        trace.recordView(view, fleet.confirmation());
        long revision = view.configuration().revision();
        if (configurationRevision.orElse(revision) != revision) {
            LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "a request that a peer passed on was declined: it is to be handled by configuration revision %d, "
                            + "here revision %d is in force",
                    configurationRevision.getAsLong(), revision);
            return Optional.empty();
        }
        Optional<CheckedRequest> checkedRequest = customerCheck.identifyForwarded(view, request, customer);
        if (!fleet.isReady() || checkedRequest.isEmpty()) {
            return Optional.empty();
        }
        Optional<Selector> selector = view.router()
                .route(
                        request.host(),
                        request.method(),
                        request.path(),
                        checkedRequest.get().routingCustomer(),
                        ThreadLocalRandom.current());
        if (selector.isEmpty() || !customerCheck.admits(checkedRequest.get(), selector.get())) {
            return Optional.empty();
        }
        long deadlineMillis = selector.get().limits().capMillis(remainingMillis);
        trace.recordCustomer(checkedRequest.get().customer());
        trace.recordRoute(selector.get().name(), deadlineMillis);
        RetryBudget budget = retryBudgets.computeIfAbsent(selector.get().service(), service -> newBudget());
        budget.recordRequest();
        RequestResult result = RequestRun.createForwarded(
                        checkedRequest.get(),
                        customerCheck,
                        selector.get(),
                        presence,
                        deadlineMillis,
                        formerAttempts,
                        attemptExecutor,
                        plannedStop,
                        budget,
                        trace)
                .run();
        trace.addStep("for a peer");
        trace.log(toReply(result, selector.get()));
        boolean anotherPeerMayReachOne = result instanceof RequestResult.NotRun notRun
                && (notRun.reason().equals(RequestRun.NO_SERVER_REACHED)
                        || notRun.reason().equals(PlannedStop.REASON)
                        || notRun.reason().equals(CustomerCheck.UNKNOWN_KEY)
                        || notRun.reason().equals(AttemptResult.NOT_SENT.label()));
        return anotherPeerMayReachOne ? Optional.empty() : Optional.of(result);
    }

    private RetryBudget newBudget() {
        return ownersLimitRetries
                ? RetryBudget.unlimited()
                : RetryBudget.create(RETRY_BUDGET_RATIO, RETRY_BUDGET_CAPACITY);
    }

    private CallerReply claimAndRun(
            CheckedRequest request,
            Selector selector,
            CallerPresence presence,
            long deadlineMillis,
            String idempotencyKey,
            RequestTrace trace) {
        long startMillis = MonotonicClock.millis();
        // Keys of different callers and services must not collide, or a caller could get the response to another one.
        String claimKey = selector.service() + "\n" + request.trustedIdentity().orElse("") + "\n" + idempotencyKey;
        String claimId = attemptExecutor.entryName() + "-"
                + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        ClaimClient.Claim claim = claimClient.claim(claimKey, claimId, requestDigest(request.request()));
        return switch (claim.decision()) {
            case ClaimDecision.Proceed proceed -> {
                long remainingMillis = Math.min(deadlineMillis, MAXIMUM_CLAIMED_DEADLINE_MILLIS)
                        - (MonotonicClock.millis() - startMillis);
                RequestResult result = runAndConclude(request, selector, presence, remainingMillis, claim, trace);
                yield toReply(result, selector);
            }
            case ClaimDecision.Replay replay -> replayedReply(replay.response(), selector);
            case ClaimDecision.EarlierOutcomeUnknown unknown ->
                unknownReply(CallerReply.GATEWAY_TIMEOUT, "earlier-outcome-unknown");
            case ClaimDecision.InProgress inProgress -> unknownReply(CallerReply.CONFLICT, "in-progress");
            case ClaimDecision.NotRun notRun ->
                notRunReply(CallerReply.SERVICE_UNAVAILABLE, notRun.reason(), CLAIM_RETRY_AFTER_MILLIS);
            case ClaimDecision.Mismatch mismatch -> notRunReply(UNPROCESSABLE_CONTENT, "key-of-another-request", 0);
        };
    }

    private RequestResult runAndConclude(
            CheckedRequest request,
            Selector selector,
            CallerPresence presence,
            long remainingMillis,
            ClaimClient.Claim claim,
            RequestTrace trace) {
        ClaimConclusion conclusion = new ClaimConclusion.OutcomeUnknown();
        try {
            RequestResult result = run(request, selector, presence, remainingMillis, trace);
            conclusion = switch (result) {
                case RequestResult.Delivered delivered ->
                    new ClaimConclusion.Answered(new RecordedResponse(
                            delivered.response().status(),
                            delivered.response().headers(),
                            delivered.response().body()));
                case RequestResult.NotRun notRun -> new ClaimConclusion.Released();
                case RequestResult.Unknown unknown -> new ClaimConclusion.OutcomeUnknown();
            };
            return result;
        } finally {
            claimClient.conclude(claim, conclusion);
        }
    }

    private CallerReply toReply(RequestResult result, Selector selector) {
        return switch (result) {
            case RequestResult.Delivered delivered -> {
                ResponseReceived response = delivered.response();
                yield responseReply(response.status(), response.headers(), response.body(), selector);
            }
            case RequestResult.NotRun notRun ->
                notRunReply(statusOf(notRun.reason()), notRun.reason(), notRun.retryAfterMillis());
            case RequestResult.Unknown unknown -> unknownReply(CallerReply.GATEWAY_TIMEOUT, unknown.reason());
        };
    }

    private static int statusOf(String notRunReason) {
        if (notRunReason.equals(CustomerCheck.UNKNOWN_KEY)) {
            return UNAUTHORIZED;
        }
        return notRunReason.equals(RefusalReason.QUOTA.label())
                ? CallerReply.TOO_MANY_REQUESTS
                : CallerReply.SERVICE_UNAVAILABLE;
    }

    private CallerReply replayedReply(RecordedResponse response, Selector selector) {
        return responseReply(response.status(), response.headers(), response.body(), selector)
                .withHeader("Cassiabank-Replayed", "true");
    }

    private CallerReply responseReply(int status, Map<String, List<String>> headers, byte[] body, Selector selector) {
        CallerReply reply = ServerResponseReply.create(status, headers, body, selector.repeatable(), conventions);
        if (reply.isAnswered()) {
            metrics.recordAnsweredRequest();
        } else {
            metrics.recordUnknownOutcome(reply.firstHeader(CallerReply.REASON_HEADER));
        }
        return reply;
    }

    private CallerReply notRunReply(int status, String reason, long retryAfterMillis) {
        metrics.recordRefusedRequest(reason);
        return retryAfterMillis > 0
                ? CallerReply.notRun(status, reason, retryAfterMillis)
                        .withHeader("Retry-After", conventions.formatRetryAfter(retryAfterMillis))
                : CallerReply.notRun(status, reason, retryAfterMillis);
    }

    private CallerReply unknownReply(int status, String reason) {
        metrics.recordUnknownOutcome(reason);
        return CallerReply.unknown(status, reason);
    }

    private static long requestDigest(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((request.method() + " " + request.target() + "\n").getBytes(StandardCharsets.UTF_8));
            digest.update(request.body());
            return ByteBuffer.wrap(digest.digest()).getLong();
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is missing, but every Java platform must have it", exception);
        }
    }
}
