package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimDecision;
import org.cassiabank.once.RecordedResponse;
import org.cassiabank.retry.RetryBudget;

/**
 * Answers the callers of this daemon: finds the selector, claims the key of an unrepeatable request, and runs it.
 */
final class RequestHandler implements CallerHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long MAXIMUM_DEADLINE_MILLIS = TimeUnit.MINUTES.toMillis(30);
    /** Half the time for which keepers remember a claim, so that no paused entry sends what they have forgotten. */
    private static final long MAXIMUM_CLAIMED_MILLIS = TimeUnit.MINUTES.toMillis(5);

    private static final int LOG_INTERVAL_SECONDS = 10;
    /** A daemon that has just started learns the fleet within this time when the store answers. */
    private static final long START_WAIT_MILLIS = 200;

    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;
    private static final long CLAIM_RETRY_MILLIS = 500;
    private static final double RETRY_RATIO = 0.1;
    private static final int RETRY_CAPACITY = 10;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNPROCESSABLE = 422;

    private final FleetState fleet;
    private final AttemptExecutor attemptExecutor;
    private final ClaimClient claims;
    private final ProxyMetrics metrics;
    private final HeaderConventions conventions;
    private final boolean ownersLimitRetries;
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    private RequestHandler(
            FleetState fleet,
            AttemptExecutor attemptExecutor,
            ClaimClient claims,
            ProxyMetrics metrics,
            HeaderConventions conventions,
            boolean ownersLimitRetries) {
        this.fleet = fleet;
        this.attemptExecutor = attemptExecutor;
        this.claims = claims;
        this.metrics = metrics;
        this.conventions = conventions;
        this.ownersLimitRetries = ownersLimitRetries;
    }

    static RequestHandler create(
            FleetState fleet,
            AttemptExecutor attemptExecutor,
            ClaimClient claims,
            ProxyMetrics metrics,
            HeaderConventions conventions,
            boolean ownersLimitRetries) {
        return new RequestHandler(
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(attemptExecutor, "attemptExecutor"),
                Objects.requireNonNull(claims, "claims"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(conventions, "conventions"),
                ownersLimitRetries);
    }

    @Override
    public CallerReply handle(CallerRequest request, CallerPresence presence) {
        String header = conventions.requestIdHeader();
        Optional<String> identifier = request.header(header);
        RequestTrace trace = RequestTrace.start(identifier.orElse(""));
        CallerReply reply = handle(request, presence, trace);
        trace.log(reply);
        metrics.recordRequestDuration(reply.firstHeader(CallerReply.OUTCOME_HEADER), trace.elapsedMillis());
        // The attempts may carry identifiers of their own; the caller gets back the one that it sent.
        return identifier.map(value -> reply.withHeader(header, value)).orElse(reply);
    }

    private CallerReply handle(CallerRequest request, CallerPresence presence, RequestTrace trace) {
        try {
            return route(request, presence, trace);
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "request failed inside the proxy");
            metrics.recordUnknownOutcome("internal-error");
            return CallerReply.unknown("internal-error");
        }
    }

    private CallerReply route(CallerRequest request, CallerPresence presence, RequestTrace trace) {
        boolean ready = fleet.awaitReady(START_WAIT_MILLIS);
        FleetView view = fleet.view();
        trace.useView(view);
        if (!ready) {
            return refuse(CallerReply.SERVICE_UNAVAILABLE, "no-configuration", NO_CONFIGURATION_RETRY_MILLIS);
        }
        RandomGenerator random = ThreadLocalRandom.current();
        Optional<Selector> selector =
                view.router().route(request.host(), request.method(), request.path(), request.caller(), random);
        if (selector.isEmpty()) {
            return refuse(NOT_FOUND, "no-selector", 0);
        }
        long deadlineMillis = view.service(selector.get().service())
                .map(ServiceDeclaration::defaultDeadlineMillis)
                .orElse(0L);
        Optional<String> asked = request.header(conventions.deadlineHeader());
        if (asked.isPresent()) {
            try {
                deadlineMillis = Math.min(Long.parseLong(asked.get().strip()), MAXIMUM_DEADLINE_MILLIS);
            } catch (NumberFormatException exception) {
                return refuse(BAD_REQUEST, "malformed-deadline", 0);
            }
        }
        deadlineMillis = selector.get().limits().capMillis(deadlineMillis);
        trace.route(selector.get().name(), deadlineMillis);
        if (!BackendRequests.canForward(request)) {
            return refuse(BAD_REQUEST, "malformed-request", 0);
        }
        Optional<String> key = request.header("idempotency-key");
        return selector.get().repeatable() || key.isEmpty() || !claims.isEnabled()
                ? toReply(run(request, selector.get(), presence, deadlineMillis, trace))
                : runClaimed(request, selector.get(), presence, deadlineMillis, key.get(), trace);
    }

    private RequestResult run(
            CallerRequest request,
            Selector selector,
            CallerPresence presence,
            long deadlineMillis,
            RequestTrace trace) {
        RetryBudget budget = budgets.computeIfAbsent(selector.service(), service -> newBudget());
        budget.recordRequest();
        return RequestRun.create(request, selector, presence, deadlineMillis, attemptExecutor, budget, trace)
                .run();
    }

    private RetryBudget newBudget() {
        return ownersLimitRetries ? RetryBudget.unlimited() : RetryBudget.create(RETRY_RATIO, RETRY_CAPACITY);
    }

    private CallerReply runClaimed(
            CallerRequest request,
            Selector selector,
            CallerPresence presence,
            long deadlineMillis,
            String callerKey,
            RequestTrace trace) {
        long start = MonotonicClock.millis();
        // Keys of different callers and services must not meet, or a caller could get the response of another one.
        String key =
                selector.service() + "\n" + request.header("cassiabank-caller").orElse("") + "\n" + callerKey;
        String identifier = attemptExecutor.entryName() + "-"
                + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        ClaimClient.Claim claim = claims.claim(key, identifier, digest(request));
        return switch (claim.decision()) {
            case ClaimDecision.Proceed proceed -> {
                long remaining = Math.min(deadlineMillis, MAXIMUM_CLAIMED_MILLIS) - (MonotonicClock.millis() - start);
                RequestResult result = runToConclusion(request, selector, presence, remaining, claim, trace);
                yield toReply(result);
            }
            case ClaimDecision.Replay replay -> replay(replay.response());
            case ClaimDecision.EarlierOutcomeUnknown unknown ->
                unknownReply(CallerReply.GATEWAY_TIMEOUT, "earlier-outcome-unknown");
            case ClaimDecision.InProgress inProgress -> unknownReply(CallerReply.CONFLICT, "in-progress");
            case ClaimDecision.NotRun notRun ->
                refuse(CallerReply.SERVICE_UNAVAILABLE, notRun.reason(), CLAIM_RETRY_MILLIS);
            case ClaimDecision.Mismatch mismatch -> refuse(UNPROCESSABLE, "key-of-another-request", 0);
        };
    }

    private RequestResult runToConclusion(
            CallerRequest request,
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
            claims.conclude(claim, conclusion);
        }
    }

    private CallerReply toReply(RequestResult result) {
        return switch (result) {
            case RequestResult.Delivered delivered -> {
                metrics.recordAnsweredRequest();
                ResponseReceived response = delivered.response();
                yield CallerReply.answered(response.status(), response.headers(), response.body());
            }
            case RequestResult.NotRun notRun ->
                refuse(CallerReply.SERVICE_UNAVAILABLE, notRun.reason(), notRun.retryAfterMillis());
            case RequestResult.Unknown unknown -> unknownReply(CallerReply.GATEWAY_TIMEOUT, unknown.reason());
        };
    }

    private CallerReply replay(RecordedResponse response) {
        metrics.recordAnsweredRequest();
        return CallerReply.answered(response.status(), response.headers(), response.body())
                .withHeader("Cassiabank-Replayed", "true");
    }

    private CallerReply refuse(int status, String reason, long retryAfterMillis) {
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

    private static long digest(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((request.method() + " " + request.target() + "\n").getBytes(StandardCharsets.UTF_8));
            digest.update(request.body());
            return ByteBuffer.wrap(digest.digest()).getLong();
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }
}
