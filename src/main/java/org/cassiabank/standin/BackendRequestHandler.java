package org.cassiabank.standin;

import io.jooby.Context;
import io.jooby.Sender;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;

/**
 * Runs requests of a backend stand-in, one at a time per slot, and injects the faults that are set. Thread-safe.
 *
 * <p>The body of a response begins with a line {@code token=...} that repeats the query parameter {@code token} (or the
 * request id) and ends with a line {@code end=...} with the same value, so that callers can tell complete
 * responses from truncated ones and from those of other requests. A request with the query parameter {@code crash=true}
 * ends the process when it begins to run.
 */
final class BackendRequestHandler {
    /** The response header that states that the request was not started. */
    static final String NOT_RUN_HEADER = "Cassiabank-Not-Run";

    private static final String LEAVING_HEADER = "Cassiabank-Leaving";
    private static final String RATE_LIMIT_HEADER = "Cassiabank-Rate-Limit";
    private static final String REQUEST_ID_HEADER = "Cassiabank-Request-Id";
    private static final String DEADLINE_HEADER = "Cassiabank-Deadline-Millis";
    private static final int CRASH_STATUS = 134;
    private static final int MAXIMUM_PADDING_BYTES = 16 * 1024 * 1024;

    private final BackendSettings settings;
    private final BackendConnections connections;
    private final BackendSlots slots;
    private final BackendExecutionRecord executionRecord;
    private final BackendServiceTimes serviceTimes;
    private final Random random;
    private final long startNanos = System.nanoTime();
    private volatile ActiveFaults activeFaults = new ActiveFaults(BackendFaults.none(), startNanos);

    private BackendRequestHandler(
            BackendSettings settings,
            BackendConnections connections,
            BackendSlots slots,
            BackendExecutionRecord executionRecord) {
        this.settings = settings;
        this.connections = connections;
        this.slots = slots;
        this.executionRecord = executionRecord;
        this.serviceTimes = BackendServiceTimes.of(settings);
        this.random = new Random(settings.seed() + 1);
    }

    static BackendRequestHandler of(
            BackendSettings settings,
            BackendConnections connections,
            BackendSlots slots,
            BackendExecutionRecord executionRecord) {
        return new BackendRequestHandler(settings, connections, slots, executionRecord);
    }

    BackendFaults faults() {
        return activeFaults.faults();
    }

    void setFaults(BackendFaults faults) {
        activeFaults = new ActiveFaults(faults, System.nanoTime());
    }

    Context handle(Context context) throws InterruptedException {
        executionRecord.recordReceived();
        byte[] requestBody = context.body().bytes();
        BackendFaults faults = currentFaults();
        String requestId = context.header(REQUEST_ID_HEADER).value("");
        String token = context.query("token").value(requestId);
        String executionKey = context.header("Idempotency-Key").value(token);
        if (!requestId.isEmpty()) {
            context.setResponseHeader(REQUEST_ID_HEADER, requestId);
        }
        if (faults.rateLimit() > 0) {
            context.setResponseHeader(RATE_LIMIT_HEADER, Double.toString(faults.rateLimit()));
        }
        if (faults.leaving()) {
            context.setResponseHeader(LEAVING_HEADER, "true");
        }
        long remainingMillis = context.header(DEADLINE_HEADER).longValue(Long.MAX_VALUE);
        if (remainingMillis <= 0 || drawBoolean(faults.shed()) || !slots.tryAcquire()) {
            return sendShedResponse(context);
        }
        boolean isFinished = false;
        try {
            executionRecord.recordStarted(executionKey);
            if (context.query("crash").booleanValue(false)) {
                // Ends as a process that is killed: connections are reset and nothing is written any more.
                Runtime.getRuntime().halt(CRASH_STATUS);
            }
            Optional<BackendConnection> connection = connections.connectionOf(context);
            boolean isStalled = drawBoolean(faults.stall());
            try {
                isFinished = isStalled
                        ? stallUntilClosed(connection)
                        : runForServiceTime(context, connection, faults, remainingMillis);
            } finally {
                slots.release();
            }
            if (!isFinished) {
                executionRecord.recordCancelled();
                // The client has closed the connection or the deadline has passed: no client waits for the response.
                context.setResponseCode(StatusCode.GATEWAY_TIMEOUT);
                return context.send("cancelled\n");
            }
            executionRecord.recordFinished(executionKey);
            return sendResponse(context, connection, faults, token, requestBody.length);
        } finally {
            slots.recordAnswered();
        }
    }

    private boolean runForServiceTime(
            Context context, Optional<BackendConnection> connection, BackendFaults faults, long remainingMillis)
            throws InterruptedException {
        String requestedMillis =
                context.header("work-millis").value(context.query("work-millis").value("-1"));
        long serviceNanos = serviceTimes.nextServiceNanos(
                Double.parseDouble(requestedMillis), (System.nanoTime() - startNanos) / 1_000_000);
        if (drawBoolean(faults.slow())) {
            serviceNanos = (long) (serviceNanos * faults.slowFactor());
            executionRecord.recordFault();
        }
        long remainingNanos =
                remainingMillis > Long.MAX_VALUE / 1_000_000 ? Long.MAX_VALUE : remainingMillis * 1_000_000;
        boolean endsBeforeDeadline = serviceNanos <= remainingNanos;
        return !awaitClosed(connection, Math.min(serviceNanos, remainingNanos)) && endsBeforeDeadline;
    }

    private boolean stallUntilClosed(Optional<BackendConnection> connection) throws InterruptedException {
        executionRecord.recordFault();
        if (connection.isPresent()) {
            connection.get().awaitClosed();
        } else {
            Thread.sleep(Long.MAX_VALUE);
        }
        return false;
    }

    private static boolean awaitClosed(Optional<BackendConnection> connection, long timeoutNanos)
            throws InterruptedException {
        if (connection.isPresent()) {
            return connection.get().awaitClosed(timeoutNanos);
        }
        Thread.sleep(timeoutNanos / 1_000_000, (int) (timeoutNanos % 1_000_000));
        return false;
    }

    private Context sendResponse(
            Context context,
            Optional<BackendConnection> connection,
            BackendFaults faults,
            String token,
            int requestBytes) {
        boolean isWrongAnswer = drawBoolean(faults.wrongAnswer());
        if (isWrongAnswer) {
            executionRecord.recordFault();
            context.setResponseHeader(REQUEST_ID_HEADER, "another-" + random.nextInt(1_000_000));
        }
        byte[] body =
                responseBody(isWrongAnswer ? "another-" + token : token, requestedPaddingBytes(context), requestBytes);
        addLeavingHeaders(context);
        if (drawBoolean(faults.fail())) {
            executionRecord.recordFault();
            context.setResponseCode(StatusCode.SERVER_ERROR);
        } else if (connection.isPresent() && drawBoolean(faults.cut())) {
            executionRecord.recordFault();
            return sendCutResponse(context, connection.get(), body);
        }
        context.setResponseType("text/plain");
        return context.send(body);
    }

    private static Context sendCutResponse(Context context, BackendConnection connection, byte[] body) {
        context.setResponseLength(body.length);
        Sender sender = context.responseSender();
        sender.write(Arrays.copyOf(body, body.length / 2), (written, failure) -> connection.cut());
        return context;
    }

    private Context sendShedResponse(Context context) {
        executionRecord.recordShed();
        addLeavingHeaders(context);
        context.setResponseHeader(NOT_RUN_HEADER, "true");
        context.setResponseCode(StatusCode.SERVICE_UNAVAILABLE);
        return context.send("shed\n");
    }

    private void addLeavingHeaders(Context context) {
        if (slots.isDraining()) {
            context.setResponseHeader(LEAVING_HEADER, "true");
            context.setResponseHeader("Connection", "close");
        }
    }

    private byte[] responseBody(String token, int paddingBytes, int requestBytes) {
        String firstLines = "token=" + token + "\nserver=" + settings.name() + "\nreceived=" + requestBytes + "\n";
        return (firstLines + ".".repeat(paddingBytes) + "\nend=" + token + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static int requestedPaddingBytes(Context context) {
        return Math.clamp(context.query("size").longValue(200), 0, MAXIMUM_PADDING_BYTES);
    }

    private BackendFaults currentFaults() {
        ActiveFaults active = activeFaults;
        boolean isOn = active.faults().isOn((System.nanoTime() - active.sinceNanos()) / 1_000_000);
        return isOn ? active.faults() : BackendFaults.none();
    }

    private boolean drawBoolean(double trueProbability) {
        return trueProbability > 0 && random.nextDouble() < trueProbability;
    }

    /**
     * Faults and the time at which they were set, from which flapping periods are counted.
     *
     * @param faults the faults
     * @param sinceNanos the time at which they were set, by {@link System#nanoTime()}
     */
    private record ActiveFaults(BackendFaults faults, long sinceNanos) {}
}
