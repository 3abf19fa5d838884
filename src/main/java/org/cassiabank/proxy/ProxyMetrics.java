package org.cassiabank.proxy;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.quota.QuotaRefusalCause;

/**
 * The metrics of a daemon. Refusals, unknown outcomes and retries are counted by reason.
 */
final class ProxyMetrics implements ControlTrafficRecorder {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = counter("cassiabank_requests_total", "Requests by outcome.", "outcome");
    private final Counter refusals = counter("cassiabank_refusals_total", "Requests not run, by reason.", "reason");
    private final Counter slotRefusals = counter(
            "cassiabank_slot_refusals_total",
            "Requests that got no slot of a shard scheduled by this daemon, by reason and when it was decided.",
            "reason",
            "decided");
    private final Counter unknownOutcomes =
            counter("cassiabank_unknown_outcomes_total", "Requests whose outcome is unknown, by reason.", "reason");
    private final Counter retries =
            counter("cassiabank_retries_total", "Further attempts at backend servers, by reason.", "reason");
    private final Counter attempts =
            counter("cassiabank_attempts_total", "Attempts at backend servers, by outcome.", "outcome");
    private final Counter bytesBehindResponses = counter(
            "cassiabank_bytes_behind_responses_total",
            "Responses of backend servers behind which further bytes arrived, by outcome of the attempt.",
            "outcome");
    private final Counter forwardedRequests = counter(
            "cassiabank_forwarded_requests_total", "Requests passed on to a peer, by what it replied.", "reply");
    private final Counter customerChecks = counter(
            "cassiabank_customer_checks_total",
            "Requests in a configuration with customers, by what their keys showed.",
            "result");
    private final Counter shardChoices = counter(
            "cassiabank_shard_choices_total",
            "Choices of a shard of a service with several, by the failure domain of the shard.",
            "domain");
    private final Counter secondShards = counter(
            "cassiabank_second_shards_total",
            "Requests for slots that went to a second shard, by the reason of the first refusal.",
            "reason");
    private final Counter fullDomains = counter(
            "cassiabank_full_domains_total",
            "Times at which the servers of this daemon's failure domain became full, by service.",
            "service");
    private final Counter slotRequests =
            counter("cassiabank_slot_requests_total", "Requests for slots, by where the owner is.", "owner");
    private final Counter serverBytes = counter(
            "cassiabank_server_body_bytes_total",
            "Bytes of the bodies of requests and complete responses, by the failure domain of the server.",
            "domain");
    private final Counter ejections = counter("cassiabank_ejections_total", "Ejections of servers.", "service");
    private final Counter suspectTests = counter(
            "cassiabank_suspect_tests_total",
            "Requests that tested suspect servers, by kind and result.",
            "kind",
            "result");
    private final Counter controlMessages =
            counter("cassiabank_control_messages_total", "Calls of peers, by kind.", "kind");
    private final Counter controlBytes = counter(
            "cassiabank_control_bytes_total", "Bytes of requests and replies of calls of peers, by kind.", "kind");
    private final Counter lateTicks = counter(
            "cassiabank_late_ticks_total", "Periodic tasks that ran 250 ms late or more: this process was paused.");
    private final Counter storeCalls =
            counter("cassiabank_store_calls_total", "Calls of the platform, by kind.", "kind");
    private final Counter quotaRefusals = counter(
            "cassiabank_quota_refusals_total",
            "Requests that this daemon refused as scheduler of their shard by quota, by the state of its lease.",
            "cause");
    private final Counter quotaExchanges =
            counter("cassiabank_quota_exchanges_total", "Reports of the use of customers, by result.", "result");
    private final Histogram requestSeconds =
            histogram("cassiabank_request_seconds", "Time from a read request to its reply, by outcome.", "outcome");
    private final Histogram attemptSeconds = histogram(
            "cassiabank_attempt_seconds",
            "Time of attempts at backend servers, by service and result.",
            "service",
            "result");
    private final Histogram addedSeconds =
            histogram("cassiabank_added_seconds", "Time from the request to its first attempt at a backend server.");

    private ProxyMetrics() {
        CounterWithCallback.builder()
                .name("cassiabank_task_failures_total")
                .help("Unexpected failures of background tasks, which run again, by task.")
                .labelNames("task")
                .callback(callback -> BackgroundTasks.failuresByTask()
                        .forEach((task, failures) -> callback.call(failures.doubleValue(), task)))
                .register(registry);
    }

    static ProxyMetrics create() {
        ProxyMetrics metrics = new ProxyMetrics();
        JvmMetrics.builder().register(metrics.registry);
        return metrics;
    }

    void recordAnsweredRequest() {
        requests.labelValues("answered").inc();
    }

    void recordRefusedRequest(String reason) {
        requests.labelValues("not-run").inc();
        refusals.labelValues(reason).inc();
    }

    /** Counts a slot that this daemon refused as owner, on arrival of the request or after it was queued. */
    void recordSlotRefusal(String reason, boolean queued) {
        slotRefusals.labelValues(reason, queued ? "queued" : "arrival").inc();
    }

    void recordUnknownOutcome(String reason) {
        requests.labelValues("unknown").inc();
        unknownOutcomes.labelValues(reason).inc();
    }

    void recordRetry(String reason) {
        retries.labelValues(reason).inc();
    }

    void recordAttempt(String outcome) {
        attempts.labelValues(outcome).inc();
    }

    void recordBytesBehindResponse(String outcome) {
        bytesBehindResponses.labelValues(outcome).inc();
    }

    void recordForwardedRequest(String reply) {
        forwardedRequests.labelValues(reply).inc();
    }

    void recordCustomerCheck(String result) {
        customerChecks.labelValues(result).inc();
    }

    void recordShardChoice(String domain) {
        shardChoices.labelValues(domain).inc();
    }

    void recordSecondShard(String reason) {
        secondShards.labelValues(reason).inc();
    }

    void recordFullDomain(String service) {
        fullDomains.labelValues(service).inc();
    }

    void recordSlotRequest(String owner) {
        slotRequests.labelValues(owner).inc();
    }

    void recordServerBytes(String domain, long bytes) {
        serverBytes.labelValues(domain).inc(bytes);
    }

    void recordEjection(String service) {
        ejections.labelValues(service).inc();
    }

    /** Counts a request that tested a server on probation, or one that mostly failed. */
    void recordSuspectTest(boolean repeatable, AttemptOutcome outcome) {
        suspectTests
                .labelValues(
                        repeatable ? "repeatable" : "unrepeatable",
                        outcome.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .inc();
    }

    void recordLateTick() {
        lateTicks.inc();
    }

    void recordQuotaRefusal(QuotaRefusalCause cause) {
        quotaRefusals.labelValues(cause.label()).inc();
    }

    void recordQuotaExchange(String result) {
        quotaExchanges.labelValues(result).inc();
    }

    void recordStoreCall(String kind) {
        storeCalls.labelValues(kind).inc();
    }

    void recordRequestDuration(String outcome, long millis) {
        requestSeconds.labelValues(outcome).observe(millis / MILLIS_PER_SECOND);
    }

    void recordAttemptDuration(String service, String result, long micros) {
        attemptSeconds.labelValues(service, result).observe(micros / MICROS_PER_SECOND);
    }

    void recordAddedLatencyMicros(long micros) {
        addedSeconds.observe(micros / MICROS_PER_SECOND);
    }

    void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    @Override
    public void record(String kind, long bytesSent, long bytesReceived) {
        controlMessages.labelValues(kind).inc();
        controlBytes.labelValues(kind).inc(bytesSent + bytesReceived);
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @return the text of all metrics, those of the JVM included
     */
    String toText() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException exception) {
            throw new IllegalStateException("writing to memory cannot fail", exception);
        }
        return output.toString(StandardCharsets.UTF_8);
    }

    private Histogram histogram(String name, String help, String... labels) {
        return Histogram.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }
}
