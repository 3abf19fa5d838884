package org.cassiabank.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cassiabank.http.JoobyServer;
import org.cassiabank.membership.InstanceListCodec;

/**
 * A stand-in for the platform: a key-value store with compare-and-swap and blocking reads like those of the HTTP
 * interface of Consul, and an instance list that readers can see with a delay. {@code POST /control/faults} sets the
 * faults.
 */
public final class PlatformServer implements AutoCloseable {
    private static final String INDEX_HEADER = "X-Consul-Index";
    private static final String LIST_KEY = "instances";
    private static final Pattern WAIT_DURATION = Pattern.compile("(\\d+)(ms|s)");
    private static final int MAXIMUM_VALUE_BYTES = 1_000_000;

    private final String address;
    private final ObjectMapper jsonMapper = JsonMapper.builder().build();
    private final VersionedTable storeTable = VersionedTable.create();
    private final VersionedTable instanceListTable = VersionedTable.create();
    private final Deque<ListVersion> listHistory = new ArrayDeque<>();
    private final AtomicReference<PlatformFaults> faults = new AtomicReference<>(PlatformFaults.none());
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private JoobyServer server;

    private PlatformServer(String address) {
        this.address = address;
    }

    /**
     * Creates a stand-in that does not listen until {@link #start()}.
     *
     * @param address the IP address and port to listen on
     * @return the stand-in
     * @throws IllegalArgumentException if the address has no port
     */
    public static PlatformServer create(String address) {
        return new PlatformServer(address);
    }

    /**
     * Starts to listen and returns without waiting for requests.
     *
     * @return this stand-in
     */
    public PlatformServer start() {
        server = JoobyServer.start(address, 2 * MAXIMUM_VALUE_BYTES, this::addRoutes);
        return this;
    }

    @Override
    public void close() {
        server.close();
    }

    private void addRoutes(Jooby application) {
        application.get("/v1/kv/*key", this::readValue);
        application.put("/v1/kv/*key", this::writeValue);
        application.get("/v1/instances", this::readList);
        application.put("/control/instances", this::replaceList);
        application.post("/control/faults", context -> {
            faults.set(jsonMapper.readValue(context.body().bytes(), PlatformFaults.class));
            return "ok";
        });
        application.get(
                "/control/counters", context -> "{\"reads\":" + reads.get() + ",\"writes\":" + writes.get() + "}");
    }

    private Object readValue(Context context) throws InterruptedException {
        reads.incrementAndGet();
        if (applyStoreFaults(context)) {
            return "";
        }
        String key = context.path("key").value();
        awaitIndex(context, storeTable, key);
        if (faults.get().outage()) {
            return serverError(context);
        }
        context.setResponseHeader(INDEX_HEADER, Long.toString(storeTable.lastIndex()));
        return storeTable
                .read(key)
                .<Object>map(entry -> {
                    context.setResponseType(MediaType.json);
                    return entry.toJson(key);
                })
                .orElseGet(() -> {
                    context.setResponseCode(StatusCode.NOT_FOUND);
                    return "";
                });
    }

    private Object writeValue(Context context) throws InterruptedException {
        writes.incrementAndGet();
        if (applyStoreFaults(context)) {
            return "";
        }
        byte[] value = context.body().bytes();
        if (value.length > MAXIMUM_VALUE_BYTES) {
            context.setResponseCode(StatusCode.REQUEST_ENTITY_TOO_LARGE);
            return "value exceeds " + MAXIMUM_VALUE_BYTES + " bytes";
        }
        long expectedIndex = context.query("cas").longValue(-1);
        boolean written = storeTable.write(context.path("key").value(), expectedIndex, value);
        PlatformFaults current = faults.get();
        if (current.loseWriteAnswers() > 0) {
            faults.compareAndSet(current, withLoseWriteAnswers(current, current.loseWriteAnswers() - 1));
            return serverError(context);
        }
        return Boolean.toString(written);
    }

    private Object readList(Context context) throws InterruptedException {
        reads.incrementAndGet();
        if (faults.get().listOutage()) {
            return serverError(context);
        }
        awaitIndex(context, instanceListTable, LIST_KEY);
        ListVersion visible = visibleListVersion();
        context.setResponseHeader(INDEX_HEADER, Long.toString(visible.index()));
        context.setResponseType(MediaType.json);
        return new String(visible.document(), StandardCharsets.UTF_8);
    }

    private Object replaceList(Context context) {
        byte[] document = context.body().bytes();
        InstanceListCodec.parse(0, document);
        synchronized (listHistory) {
            instanceListTable.write(LIST_KEY, -1, document);
            listHistory.addLast(new ListVersion(instanceListTable.lastIndex(), document, System.nanoTime()));
        }
        return "ok";
    }

    private ListVersion visibleListVersion() {
        long newestVisibleNanos =
                System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(faults.get().listLagMillis());
        synchronized (listHistory) {
            ListVersion visible = new ListVersion(1, "[]".getBytes(StandardCharsets.UTF_8), 0);
            for (ListVersion version : listHistory) {
                if (version.publishedNanos() - newestVisibleNanos <= 0) {
                    visible = version;
                }
            }
            return visible;
        }
    }

    private boolean applyStoreFaults(Context context) throws InterruptedException {
        PlatformFaults current = faults.get();
        if (current.hang()) {
            new CountDownLatch(1).await(1, TimeUnit.MINUTES);
        }
        if (current.slowMillis() > 0) {
            TimeUnit.MILLISECONDS.sleep(current.slowMillis());
        }
        if (current.outage()) {
            serverError(context);
            return true;
        }
        return false;
    }

    private static void awaitIndex(Context context, VersionedTable table, String key) throws InterruptedException {
        long knownIndex = context.query("index").longValue(0);
        Matcher waitMatcher = WAIT_DURATION.matcher(context.query("wait").value("0s"));
        if (knownIndex > 0 && waitMatcher.matches()) {
            long waitAmount = Long.parseLong(waitMatcher.group(1));
            table.awaitChange(
                    key,
                    knownIndex,
                    "s".equals(waitMatcher.group(2)) ? TimeUnit.SECONDS.toMillis(waitAmount) : waitAmount);
        }
    }

    private static PlatformFaults withLoseWriteAnswers(PlatformFaults faults, int remainingWrites) {
        return new PlatformFaults(
                faults.outage(),
                faults.listOutage(),
                faults.hang(),
                faults.slowMillis(),
                remainingWrites,
                faults.listLagMillis());
    }

    private static Object serverError(Context context) {
        context.setResponseCode(StatusCode.SERVER_ERROR);
        return "unavailable";
    }

    /** A version of the instance list with its modification index and the time of its publication. */
    private record ListVersion(long index, byte[] document, long publishedNanos) {}
}
