package org.cassiabank.standin;

import io.jooby.Context;
import io.jooby.Sender;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;

/**
 * Serves one request of a backend stand-in at a time per slot, with the faults that are switched on. Thread-safe.
 *
 * <p>The body of a response begins with a line {@code token=...} that repeats the query parameter {@code token} (or the
 * request id) and ends with a line {@code end=...} with the same value, so that callers can tell whole responses from
 * broken or foreign ones.
 */
final class BackendWork {
    /** The header that proves that a request never ran. */
    static final String NOT_RUN = "Cassiabank-Not-Run";

    private static final String REQUEST_ID = "Cassiabank-Request-Id";
    private static final String DEADLINE = "Cassiabank-Deadline-Millis";
    private static final int LARGEST_PADDING = 16 * 1024 * 1024;

    private final BackendSettings settings;
    private final BackendConnections connections;
    private final BackendSlots slots;
    private final BackendRecord executions;
    private final BackendServiceTimes times;
    private final Random random;
    private final long startNanos = System.nanoTime();
    private volatile Switched switched = new Switched(BackendFaults.none(), startNanos);

    private BackendWork(
            BackendSettings settings, BackendConnections connections, BackendSlots slots, BackendRecord executions) {
        this.settings = settings;
        this.connections = connections;
        this.slots = slots;
        this.executions = executions;
        this.times = BackendServiceTimes.of(settings);
        this.random = new Random(settings.seed() + 1);
    }

    static BackendWork of(
            BackendSettings settings, BackendConnections connections, BackendSlots slots, BackendRecord executions) {
        return new BackendWork(settings, connections, slots, executions);
    }

    BackendFaults faults() {
        return switched.faults();
    }

    void switchFaults(BackendFaults faults) {
        switched = new Switched(faults, System.nanoTime());
    }

    Context serve(Context context) throws InterruptedException {
        executions.received();
        byte[] requestBody = context.body().bytes();
        BackendFaults faults = faultsNow();
        String requestId = context.header(REQUEST_ID).value("");
        String token = context.query("token").value(requestId);
        String key = context.header("Idempotency-Key").value(token);
        if (!requestId.isEmpty()) {
            context.setResponseHeader(REQUEST_ID, requestId);
        }
        long deadlineMillis = context.header(DEADLINE).longValue(Long.MAX_VALUE);
        if (deadlineMillis <= 0 || drawn(faults.shed()) || !slots.enter()) {
            return shed(context);
        }
        boolean finished = false;
        try {
            executions.started(key);
            Optional<BackendConnection> connection = connections.of(context);
            boolean stalled = drawn(faults.stall());
            try {
                finished = stalled ? stall(connection) : run(context, connection, faults, deadlineMillis);
            } finally {
                slots.leave();
            }
            if (!finished) {
                executions.cancelled();
                // The client has gone or its deadline has passed; nobody waits for this response.
                context.setResponseCode(StatusCode.GATEWAY_TIMEOUT);
                return context.send("cancelled\n");
            }
            executions.finished(key);
            return answer(context, connection, faults, token, requestBody.length);
        } finally {
            slots.answered();
        }
    }

    private boolean run(
            Context context, Optional<BackendConnection> connection, BackendFaults faults, long deadlineMillis)
            throws InterruptedException {
        String text =
                context.header("work-millis").value(context.query("work-millis").value("-1"));
        long nanos = times.nextNanos(Double.parseDouble(text), (System.nanoTime() - startNanos) / 1_000_000);
        if (drawn(faults.slow())) {
            nanos = (long) (nanos * faults.slowFactor());
            executions.faulty();
        }
        long deadlineNanos = deadlineMillis > Long.MAX_VALUE / 1_000_000 ? Long.MAX_VALUE : deadlineMillis * 1_000_000;
        boolean inTime = nanos <= deadlineNanos;
        return !awaitClosed(connection, Math.min(nanos, deadlineNanos)) && inTime;
    }

    private boolean stall(Optional<BackendConnection> connection) throws InterruptedException {
        executions.faulty();
        if (connection.isPresent()) {
            connection.get().awaitClosed();
        } else {
            Thread.sleep(Long.MAX_VALUE);
        }
        return false;
    }

    private static boolean awaitClosed(Optional<BackendConnection> connection, long nanos) throws InterruptedException {
        if (connection.isPresent()) {
            return connection.get().awaitClosed(nanos);
        }
        Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
        return false;
    }

    private Context answer(
            Context context,
            Optional<BackendConnection> connection,
            BackendFaults faults,
            String token,
            int requestLength) {
        boolean wrong = drawn(faults.wrongAnswer());
        if (wrong) {
            executions.faulty();
            context.setResponseHeader(REQUEST_ID, "another-" + random.nextInt(1_000_000));
        }
        byte[] body = body(wrong ? "another-" + token : token, padding(context), requestLength);
        markLeaving(context);
        if (drawn(faults.fail())) {
            executions.faulty();
            context.setResponseCode(StatusCode.SERVER_ERROR);
        } else if (connection.isPresent() && drawn(faults.cut())) {
            executions.faulty();
            return cut(context, connection.get(), body);
        }
        context.setResponseType("text/plain");
        return context.send(body);
    }

    private static Context cut(Context context, BackendConnection connection, byte[] body) {
        context.setResponseLength(body.length);
        Sender sender = context.responseSender();
        sender.write(Arrays.copyOf(body, body.length / 2), (written, failure) -> connection.cut());
        return context;
    }

    private Context shed(Context context) {
        executions.shed();
        markLeaving(context);
        context.setResponseHeader(NOT_RUN, "true");
        context.setResponseCode(StatusCode.SERVICE_UNAVAILABLE);
        return context.send("shed\n");
    }

    private void markLeaving(Context context) {
        if (slots.isDraining()) {
            context.setResponseHeader("Cassiabank-Leaving", "true");
            context.setResponseHeader("Connection", "close");
        }
    }

    private byte[] body(String token, int padding, int requestLength) {
        String head = "token=" + token + "\nserver=" + settings.name() + "\nreceived=" + requestLength + "\n";
        return (head + ".".repeat(padding) + "\nend=" + token + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static int padding(Context context) {
        return Math.clamp(context.query("size").longValue(200), 0, LARGEST_PADDING);
    }

    private BackendFaults faultsNow() {
        Switched current = switched;
        boolean on = current.faults().isOn((System.nanoTime() - current.sinceNanos()) / 1_000_000);
        return on ? current.faults() : BackendFaults.none();
    }

    private boolean drawn(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    /**
     * Faults and the time at which they were switched on.
     *
     * @param faults the faults
     * @param sinceNanos the time by {@link System#nanoTime()}
     */
    private record Switched(BackendFaults faults, long sinceNanos) {}
}
