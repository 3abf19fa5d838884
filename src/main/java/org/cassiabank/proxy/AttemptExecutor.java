package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.MessageBytes;
import org.cassiabank.admission.PlacementHints;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.backend.BackendCall;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendRequest;
import org.cassiabank.backend.BackendResult;
import org.cassiabank.backend.Cancelled;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.backend.NoValidResponse;
import org.cassiabank.backend.NotSent;
import org.cassiabank.backend.RequestShed;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.declaration.Selector;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.ServerStart;
import org.cassiabank.retry.RetryReason;

/**
 * Sends attempts to backend servers and reports their outcomes to the owners of the slots.
 */
final class AttemptExecutor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;
    private static final String ANONYMOUS_CUSTOMER = "*";
    private static final long RETRY_AFTER_MILLIS = 200;

    /** Selectors have ranks from 0 to 1,000. */
    private static final int SELECTOR_URGENCY_RANKS = 1_001;

    private final String entryName;
    private final String failureDomain;
    private final FleetState fleet;
    private final SlotBroker broker;
    private final BackendClient backendClient;
    private final ProxyMetrics metrics;
    private final HeaderConventions conventions;
    private final ServerPathMonitor serverPath;
    private final KnownLeavingServers leavingServers;
    private final ConfiguredWeights configuredWeights = ConfiguredWeights.create();
    private final UnreachableServers unreachableServers = UnreachableServers.create();
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService cancellationTimer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("cancel-later").daemon().factory());

    private AttemptExecutor(
            String entryName,
            String failureDomain,
            FleetState fleet,
            SlotBroker broker,
            BackendClient backendClient,
            ServerPathMonitor serverPath,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics,
            HeaderConventions conventions) {
        this.entryName = entryName;
        this.failureDomain = failureDomain;
        this.fleet = fleet;
        this.broker = broker;
        this.backendClient = backendClient;
        this.serverPath = serverPath;
        this.leavingServers = leavingServers;
        this.metrics = metrics;
        this.conventions = conventions;
    }

    static AttemptExecutor create(
            Instance self,
            FleetState fleet,
            SlotBroker broker,
            BackendClient backendClient,
            ServerPathMonitor serverPath,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics,
            HeaderConventions conventions) {
        return new AttemptExecutor(
                self.name(),
                self.failureDomain(),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(broker, "broker"),
                Objects.requireNonNull(backendClient, "backendClient"),
                Objects.requireNonNull(serverPath, "serverPath"),
                Objects.requireNonNull(leavingServers, "leavingServers"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(conventions, "conventions"));
    }

    String entryName() {
        return entryName;
    }

    /** Tells whether this entry proxy reaches no backend server, so that attempts are of no use. */
    boolean isCutOff() {
        return serverPath.isCutOff();
    }

    /** Returns the delay in milliseconds after which a caller may retry a request that no backend server ran. */
    long retryAfterMillis() {
        return RETRY_AFTER_MILLIS;
    }

    /**
     * Adds the servers that this entry proxy recently failed to reach to those that an attempt must not use.
     *
     * @param excludedServers the names of the servers that the request must not use
     * @return the names of both; the given set itself if no server is to be added
     */
    Set<String> addUnreachableServers(Set<String> excludedServers) {
        Set<String> unreachable = unreachableServers.serversInBackoff(MonotonicClock.millis());
        if (unreachable.isEmpty()) {
            return excludedServers;
        }
        Set<String> combined = new HashSet<>(excludedServers);
        combined.addAll(unreachable);
        return combined;
    }

    /**
     * Returns the customer of a request, the identity between which slots are shared fairly.
     *
     * @param request the request
     * @return the customer that its key identified or, in a configuration without customers, the identity that the
     *     caller states; otherwise its address, or {@code *} for all callers if the header conventions do not identify
     *     customers by address
     */
    String customerIdentity(CheckedRequest request) {
        return request.trustedIdentity()
                .orElseGet(() -> conventions.identifiesCustomersByAddress()
                        ? request.request().remoteAddress()
                        : ANONYMOUS_CUSTOMER);
    }

    /**
     * Returns the urgency rank of a request: that of its customer goes before that of its selector.
     *
     * @param request the request
     * @param selector the selector of the request
     * @return the rank; 0 is the most urgent
     */
    int urgencyRank(CheckedRequest request, Selector selector) {
        FleetView view = fleet.view();
        int customerRank = request.customer()
                .map(name -> view.configuration()
                        .customer(name)
                        .map(customer -> customer.urgencyRank().orElse(0))
                        .orElse(0))
                .orElseGet(() -> view.customerKeys().leastUrgentRank());
        return customerRank * SELECTOR_URGENCY_RANKS + selector.limits().urgencyRank();
    }

    /**
     * Returns the weight of a customer in the sharing of slots.
     *
     * @param customer the customer as {@link #customerIdentity} returns it
     * @return the weight, 1 unless the configuration limits the customer
     */
    double customerWeight(String customer) {
        return configuredWeights.weight(fleet.view().configuration(), customer);
    }

    /**
     * Tells whether a server accepts new requests according to what this entry proxy itself knows: its instance list
     * and the responses that it received. The owner that granted the slot may know less.
     *
     * @param serverName the name of the server
     * @return false if the server is leaving or not listed
     */
    boolean acceptsRequests(String serverName) {
        FleetView view = fleet.view();
        return view.isAcceptingRequests(serverName)
                && !leavingServers.isLeaving(serverName, view.incarnation(serverName));
    }

    /**
     * Returns the facts about this entry proxy that the owner of a shard considers when it chooses a server.
     *
     * @param selector the selector of the request
     * @param attemptNumber the number of the attempt, from 1
     * @return the attempt number, the failure domain and the servers to which an idle connection is open
     */
    PlacementHints placementHints(Selector selector, int attemptNumber) {
        return new PlacementHints(
                attemptNumber,
                failureDomain,
                backendClient.serversWithIdleConnection(selector.service(), selector.repeatable()),
                broker.hasNarrowLinks());
    }

    /** Acquires a slot as {@link SlotBroker#acquire} does. */
    SlotResult acquire(String service, AdmissionRequest request, BooleanSupplier abandoned) {
        return broker.acquire(service, request, abandoned);
    }

    /** Returns a slot without an attempt, which is reported as cancelled; does not wait for the report. */
    void release(SlotResult.Slot slot) {
        workers.execute(() -> broker.report(slot, AttemptOutcome.CANCELLED, 0, ServerNotice.none(), Optional.empty()));
    }

    /** Counts an additional attempt in the metrics. */
    void recordRetry(RetryReason reason) {
        metrics.recordRetry(reason.label());
    }

    /** Records the time in microseconds that this proxy added before the first attempt. */
    void recordAddedLatencyMicros(long latencyMicros) {
        metrics.recordAddedLatencyMicros(latencyMicros);
    }

    /**
     * Sends one attempt and waits until it completes.
     *
     * @param request the caller's request
     * @param slot the slot
     * @param selector the selector of the request
     * @param timeoutMillis the longest time for the attempt in milliseconds, at least 1
     * @param presence cancels the attempt of a repeatable request when the caller disconnects
     * @return the result of the attempt
     */
    BackendResult send(
            CheckedRequest request,
            SlotResult.Slot slot,
            Selector selector,
            long timeoutMillis,
            CallerPresence presence) {
        RunningAttempt attempt = newAttempt(request, slot, selector, timeoutMillis);
        if (selector.repeatable()) {
            presence.onGone(attempt::cancel);
        }
        return execute(attempt);
    }

    /**
     * Starts an attempt on another thread, which adds the result to a queue.
     *
     * @param request the caller's request
     * @param slot the slot
     * @param selector the selector of the request
     * @param timeoutMillis the longest time for the attempt in milliseconds; values below 1 count as 1
     * @param presence cancels the attempt when the caller disconnects
     * @param results receives the result
     * @return the running attempt
     */
    RunningAttempt start(
            CheckedRequest request,
            SlotResult.Slot slot,
            Selector selector,
            long timeoutMillis,
            CallerPresence presence,
            BlockingQueue<BackendResult> results) {
        RunningAttempt attempt = newAttempt(request, slot, selector, Math.max(1, timeoutMillis));
        presence.onGone(attempt::cancel);
        workers.execute(() -> results.add(execute(attempt)));
        return attempt;
    }

    /**
     * Cancels an attempt after a delay unless it has completed by then.
     *
     * @param attempt the attempt
     * @param delayMillis the delay in milliseconds
     */
    void cancelAfter(RunningAttempt attempt, long delayMillis) {
        cancellationTimer.schedule(attempt::cancel, delayMillis, TimeUnit.MILLISECONDS);
    }

    private RunningAttempt newAttempt(
            CheckedRequest request, SlotResult.Slot slot, Selector selector, long timeoutMillis) {
        return new RunningAttempt(
                slot,
                new ServerStart(slot.serverName(), fleet.view().incarnation(slot.serverName())),
                newCall(request.requestForServer(conventions), slot, selector.repeatable(), timeoutMillis),
                selector.repeatable(),
                request.request().body().length);
    }

    /** Prepares the call; empty if nothing can be sent to the server, whose name or address is not usable. */
    private Optional<BackendCall> newCall(
            CallerRequest request, SlotResult.Slot slot, boolean repeatable, long timeoutMillis) {
        try {
            return Optional.of(backendClient.newCall(new BackendRequest(
                    slot.shard().service(),
                    slot.serverName(),
                    slot.address(),
                    request.method(),
                    request.target(),
                    request.headers(),
                    request.body(),
                    requestIdFor(request),
                    repeatable,
                    timeoutMillis)));
        } catch (IllegalArgumentException exception) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "no request can be sent to server %s at %s: %s",
                    slot.serverName(), slot.address(), exception.getMessage());
            return Optional.empty();
        }
    }

    private String requestIdFor(CallerRequest request) {
        return Optional.of(conventions.requestIdHeader())
                .filter(headerName -> conventions.forwardsCallerRequestId())
                .flatMap(request::header)
                .filter(requestId -> !requestId.isBlank())
                .orElseGet(() -> entryName + "-"
                        + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong()));
    }

    private BackendResult execute(RunningAttempt attempt) {
        long startNanos = System.nanoTime();
        Runnable cancellation = attempt::cancel;
        if (attempt.repeatable()) {
            serverPath.cancelWhenCutOff(cancellation);
        }
        BackendResult result =
                attempt.call().map(BackendCall::execute).orElseGet(() -> new NotSent("the server cannot be addressed"));
        try {
            recordResult(attempt, result, cancellation, (System.nanoTime() - startNanos) / 1_000);
        } catch (RuntimeException | Error failure) {
            // A failure of the records must not cost the caller the result.
            BackgroundTasks.recordFailure("attempt-record", failure);
        }
        return result;
    }

    private void recordResult(RunningAttempt attempt, BackendResult result, Runnable cancellation, long latencyMicros) {
        boolean leaving = announcesLeaving(attempt, result);
        ServerNotice notice = new ServerNotice(leaving, result.notice().rateLimit());
        // Before the other records, so that the slot is free again whatever happens to them.
        // The short bodies of failures say nothing about the messages of the route.
        Optional<MessageBytes> bytes = result instanceof ResponseReceived response && !response.isServerError()
                ? Optional.of(new MessageBytes(attempt.requestBytes(), response.body().length))
                : Optional.empty();
        workers.execute(() -> broker.report(attempt.slot(), result.outcome(), latencyMicros, notice, bytes));
        if (result instanceof ResponseReceived response) {
            recordBytes(attempt.slot().serverName(), attempt.requestBytes() + response.body().length);
        }
        if (leaving) {
            leavingServers.record(attempt.start(), "its response");
        }
        serverPath.attemptCompleted(cancellation);
        boolean hasOpenedConnection =
                attempt.call().filter(BackendCall::hasOpenedConnection).isPresent();
        if (hasOpenedConnection) {
            serverPath.recordOpened();
        } else if (result instanceof NotSent && attempt.call().isPresent()) {
            serverPath.recordNotOpened(attempt.slot().serverName());
        }
        if (UnreachableServers.isEvidence(result, hasOpenedConnection)) {
            unreachableServers.recordFailure(attempt.slot().serverName(), MonotonicClock.millis());
            LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "server %s at %s could not be reached: %s; servers avoided: %s",
                    attempt.slot().serverName(),
                    attempt.slot().address(),
                    result,
                    unreachableServers.serversInBackoff(MonotonicClock.millis()));
        } else {
            unreachableServers.recordSuccess(attempt.slot().serverName());
        }
        metrics.recordAttempt(result.attemptResult().label());
        if (attempt.call().filter(BackendCall::hasBytesBehindResponse).isPresent()) {
            metrics.recordBytesBehindResponse(result.attemptResult().label());
        }
        metrics.recordAttemptDuration(
                attempt.slot().shard().service(), result.attemptResult().label(), latencyMicros);
    }

    private void recordBytes(String serverName, long bytes) {
        boolean own = fleet.view()
                .instances()
                .find(serverName)
                .filter(server -> server.failureDomain().equals(failureDomain))
                .isPresent();
        metrics.recordServerBytes(own ? "own" : "other", bytes);
    }

    /** Tells whether the server announced its leaving; a response that broke off has no notice, but a head. */
    private static boolean announcesLeaving(RunningAttempt attempt, BackendResult result) {
        return switch (result) {
            case ResponseReceived response -> response.notice().leaving();
            case RequestShed shed -> shed.notice().leaving();
            case NoValidResponse invalid ->
                attempt.call().filter(BackendCall::announcesLeaving).isPresent();
            case Cancelled cancelled ->
                attempt.call().filter(BackendCall::announcesLeaving).isPresent();
            case NotSent notSent -> false;
        };
    }

    /**
     * An attempt that may still be running.
     *
     * @param slot the slot that the attempt occupies
     * @param start the start of the server that was listed when the attempt began; a later one is not meant by the
     *     response
     * @param call the call to the backend server, empty if nothing can be sent to it
     * @param repeatable whether the request may run more than once
     * @param requestBytes the bytes of the body of the request
     */
    record RunningAttempt(
            SlotResult.Slot slot,
            ServerStart start,
            Optional<BackendCall> call,
            boolean repeatable,
            long requestBytes) {

        /** Cancels the attempt; has no effect if it has completed. */
        void cancel() {
            call.ifPresent(BackendCall::cancel);
        }
    }
}
