package org.cassiabank.proxy;

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
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.PlacementHints;
import org.cassiabank.backend.BackendCall;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendRequest;
import org.cassiabank.backend.BackendResult;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.backend.NoValidResponse;
import org.cassiabank.backend.NoValidResponseReason;
import org.cassiabank.backend.NotSent;
import org.cassiabank.backend.RequestShed;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.declaration.Selector;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.RetryReason;

/**
 * Makes attempts at backend servers and reports their outcomes to the owners of the slots.
 */
final class AttemptExecutor {
    private static final String ANY_CALLER = "*";
    private static final long RETRY_AFTER_MILLIS = 200;

    private final String entryName;
    private final String failureDomain;
    private final FleetState fleet;
    private final SlotBroker broker;
    private final BackendClient backends;
    private final ProxyMetrics metrics;
    private final HeaderConventions conventions;
    private final ServerReach reach = ServerReach.create();
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService canceller = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("cancel-later").daemon().factory());

    private AttemptExecutor(
            String entryName,
            String failureDomain,
            FleetState fleet,
            SlotBroker broker,
            BackendClient backends,
            ProxyMetrics metrics,
            HeaderConventions conventions) {
        this.entryName = entryName;
        this.failureDomain = failureDomain;
        this.fleet = fleet;
        this.broker = broker;
        this.backends = backends;
        this.metrics = metrics;
        this.conventions = conventions;
    }

    static AttemptExecutor create(
            String entryName,
            String failureDomain,
            FleetState fleet,
            SlotBroker broker,
            BackendClient backends,
            ProxyMetrics metrics,
            HeaderConventions conventions) {
        return new AttemptExecutor(
                Objects.requireNonNull(entryName, "entryName"),
                Objects.requireNonNull(failureDomain, "failureDomain"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(broker, "broker"),
                Objects.requireNonNull(backends, "backends"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(conventions, "conventions"));
    }

    String entryName() {
        return entryName;
    }

    /** Returns when a caller should come back after the servers did not take its request, in milliseconds. */
    long retryAfterMillis() {
        return RETRY_AFTER_MILLIS;
    }

    /**
     * Adds the servers that this entry proxy did not reach lately to those that an attempt must not use.
     *
     * @param excluded the names of the servers that the request must not use
     * @return the names
     */
    Set<String> withUnreachable(Set<String> excluded) {
        Set<String> unreachable = reach.skipped(MonotonicClock.millis());
        if (unreachable.isEmpty()) {
            return excluded;
        }
        Set<String> all = new HashSet<>(excluded);
        all.addAll(unreachable);
        return all;
    }

    /**
     * Returns the identity between which slots are shared fairly.
     *
     * @param request the request
     * @return the identity, the same for all callers that the conventions do not tell apart
     */
    String callerIdentity(CallerRequest request) {
        return conventions.identifiesCustomersByAddress()
                ? request.caller()
                : request.statedCaller().orElse(ANY_CALLER);
    }

    /**
     * Tells whether this entry proxy's own list allows new work at a server.
     *
     * @param server the name of the server
     * @return false if the server is leaving or not listed
     */
    boolean takesWork(String server) {
        return fleet.view().isAcceptingRequests(server);
    }

    /**
     * Describes this entry proxy to the owner of a shard.
     *
     * @param selector the selector of the request
     * @param attempt the number of the attempt, from 1
     * @return the hints
     */
    PlacementHints hints(Selector selector, int attempt) {
        return new PlacementHints(
                attempt, failureDomain, backends.serversWithIdleConnection(selector.service(), selector.repeatable()));
    }

    SlotResult acquire(String service, AdmissionRequest request, CallerPresence presence) {
        return broker.acquire(service, request, presence);
    }

    void release(SlotResult.Slot slot) {
        workers.execute(() -> broker.report(slot, AttemptOutcome.CANCELLED, 0, false));
    }

    void retried(RetryReason reason) {
        metrics.recordRetry(reason.label());
    }

    void addedMicros(long micros) {
        metrics.recordAddedLatencyMicros(micros);
    }

    /**
     * Makes one attempt and waits for its end.
     *
     * @param request the caller's request
     * @param slot the slot
     * @param selector the selector of the request
     * @param timeoutMillis the longest time for the attempt in milliseconds
     * @param presence cancels the attempt of a repeatable request when the caller goes
     * @return the result
     */
    BackendResult send(
            CallerRequest request,
            SlotResult.Slot slot,
            Selector selector,
            long timeoutMillis,
            CallerPresence presence) {
        Running running = newCall(request, slot, selector, timeoutMillis);
        if (selector.repeatable()) {
            presence.onGone(running::cancel);
        }
        return execute(running);
    }

    /**
     * Starts an attempt whose result is added to a queue.
     *
     * @param request the caller's request
     * @param slot the slot
     * @param selector the selector of the request
     * @param timeoutMillis the longest time for the attempt in milliseconds
     * @param presence cancels the attempt when the caller goes
     * @param results receives the result
     * @return the running attempt
     */
    Running start(
            CallerRequest request,
            SlotResult.Slot slot,
            Selector selector,
            long timeoutMillis,
            CallerPresence presence,
            BlockingQueue<BackendResult> results) {
        Running running = newCall(request, slot, selector, Math.max(1, timeoutMillis));
        presence.onGone(running::cancel);
        workers.execute(() -> results.add(execute(running)));
        return running;
    }

    /**
     * Cancels an attempt after a time, if it still runs then.
     *
     * @param running the attempt
     * @param delayMillis the time in milliseconds
     */
    void cancelLater(Running running, long delayMillis) {
        canceller.schedule(running::cancel, delayMillis, TimeUnit.MILLISECONDS);
    }

    private Running newCall(CallerRequest request, SlotResult.Slot slot, Selector selector, long timeoutMillis) {
        BackendRequest message = new BackendRequest(
                slot.shard().service(),
                slot.server(),
                slot.address(),
                request.method(),
                request.target(),
                request.headers(),
                request.body(),
                requestIdentifier(request),
                selector.repeatable(),
                timeoutMillis);
        return new Running(slot, backends.newCall(message));
    }

    private String requestIdentifier(CallerRequest request) {
        return Optional.of(conventions.requestIdHeader())
                .filter(name -> conventions.forwardsCallerRequestId())
                .flatMap(request::header)
                .filter(identifier -> !identifier.isBlank())
                .orElseGet(() -> entryName + "-"
                        + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong()));
    }

    private BackendResult execute(Running running) {
        long start = System.nanoTime();
        BackendResult result = running.call().execute();
        if (result instanceof NotSent
                || result instanceof NoValidResponse broken && broken.reason() == NoValidResponseReason.TIMEOUT) {
            reach.recordFailure(running.slot().server(), MonotonicClock.millis());
        } else {
            reach.recordSuccess(running.slot().server());
        }
        long micros = (System.nanoTime() - start) / 1_000;
        metrics.recordAttempt(result.attemptResult().label());
        metrics.recordAttemptDuration(
                running.slot().shard().service(), result.attemptResult().label(), micros);
        workers.execute(() -> broker.report(running.slot(), result.outcome(), micros, isLeaving(result)));
        return result;
    }

    private static boolean isLeaving(BackendResult result) {
        return switch (result) {
            case ResponseReceived response -> response.serverLeaving();
            case RequestShed shed -> shed.serverLeaving();
            default -> false;
        };
    }

    /**
     * An attempt that may still be running.
     *
     * @param slot the slot that it uses
     * @param call the call
     */
    record Running(SlotResult.Slot slot, BackendCall call) {

        /** Cancels the attempt; nothing happens if it has ended. */
        void cancel() {
            call.cancel();
        }
    }
}
