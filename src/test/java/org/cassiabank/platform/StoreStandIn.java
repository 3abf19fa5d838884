package org.cassiabank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cassiabank.http.JoobyServer;
import org.cassiabank.load.FreePorts;

/** A stand-in for the platform's metadata store that can inject the faults which the platform documents. */
public final class StoreStandIn implements AutoCloseable {
    private static final int MAXIMUM_REQUEST_BYTES = 2 << 20;
    private static final String ERA_HEADER = "Store-Era";

    private final JsonMapper mapper = JsonMapper.builder().build();
    private final TreeMap<String, Item> itemsByKey = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Set<Long> activeLeases = new HashSet<>();
    private final JoobyServer server;
    private final URI address;
    private long era = 1;
    private long revision = 100;
    private long oldestWatchableRevision = 100;
    private long lastLeaseId;
    private int entriesPerPage = 500;
    private int failureStatus;
    private boolean dropsWriteResponses;
    private int waitingWatches;
    /** Rises when the watches that wait are silenced; a watch that began before gets no response. */
    private int watchGeneration;

    private boolean closed;
    private volatile long delayMillis;

    private StoreStandIn() {
        String host = FreePorts.nextLoopbackAddress();
        address = URI.create("http://" + host);
        server = JoobyServer.start(host, MAXIMUM_REQUEST_BYTES, this::addRoutes);
    }

    public static StoreStandIn start() {
        return new StoreStandIn();
    }

    public URI address() {
        return address;
    }

    public synchronized void write(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    public synchronized void remove(String key) {
        if (itemsByKey.remove(key) != null) {
            appendEvent(mapper.createObjectNode()
                    .put("key", key)
                    .put("rev", ++revision)
                    .put("deleted", true));
        }
    }

    /** Expires all leases and removes their keys, as after an outage during which no lease could be renewed. */
    public synchronized void expireLeases() {
        activeLeases.clear();
        List<String> leasedKeys = itemsByKey.entrySet().stream()
                .filter(entry -> entry.getValue().leaseId() != 0)
                .map(Map.Entry::getKey)
                .toList();
        leasedKeys.forEach(this::remove);
    }

    public synchronized void compactHistory() {
        history.clear();
        oldestWatchableRevision = revision;
    }

    /** Returns a copy of everything that the store holds now, for {@link #restore}. */
    public synchronized Copy copy() {
        return new Copy(
                new TreeMap<>(itemsByKey),
                List.copyOf(history),
                Set.copyOf(activeLeases),
                revision,
                oldestWatchableRevision,
                lastLeaseId);
    }

    /** Replaces the contents with those of a copy and begins a new era, in which revisions and leases are reused. */
    public synchronized void restore(Copy copy) {
        itemsByKey.clear();
        itemsByKey.putAll(copy.items());
        history.clear();
        history.addAll(copy.history());
        activeLeases.clear();
        activeLeases.addAll(copy.leases());
        revision = copy.revision();
        oldestWatchableRevision = copy.oldestWatchableRevision();
        lastLeaseId = copy.lastLeaseId();
        era++;
        notifyAll();
    }

    /** Responds to calls with an HTTP status; 0 restores normal responses. */
    public synchronized void failWithStatus(int status) {
        failureStatus = status;
    }

    /** Delays the response to every call. */
    public void setDelayMillis(long newDelayMillis) {
        delayMillis = newDelayMillis;
    }

    /** Carries out writes, but responds with status 500 as if the response were lost. */
    public synchronized void dropResponses(boolean drop) {
        dropsWriteResponses = drop;
    }

    /**
     * Lets the watches that wait now go without a response for good, as on a connection that has gone silent, while
     * later calls are answered. Does nothing while fewer watches wait than stated.
     */
    public synchronized boolean silenceWaitingWatches(int minimumWatches) {
        if (waitingWatches < minimumWatches) {
            return false;
        }
        watchGeneration++;
        waitingWatches = 0;
        notifyAll();
        return true;
    }

    synchronized void setPageSize(int newEntriesPerPage) {
        entriesPerPage = newEntriesPerPage;
    }

    public synchronized List<String> keysWithPrefix(String prefix) {
        return itemsByKey.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .toList();
    }

    public synchronized boolean has(String key) {
        return itemsByKey.containsKey(key);
    }

    /** Returns the lease of a key, 0 if it is held by none. */
    synchronized long leaseOf(String key) {
        return itemsByKey.get(key).leaseId();
    }

    /** Grants the next lease to another client, which writes a key under it, and returns the number of the lease. */
    synchronized long grantLeaseToAnother(String key) {
        activeLeases.add(++lastLeaseId);
        put(key, new byte[0], lastLeaseId);
        return lastLeaseId;
    }

    synchronized long revision() {
        return revision;
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.close();
    }

    private void addRoutes(Jooby application) {
        application.before(context -> TimeUnit.MILLISECONDS.sleep(delayMillis));
        application.get("/api/kv-range", this::listPage);
        application.get("/api/kv-watch", this::watch);
        application.post("/api/kv-txn", this::transact);
        application.post("/api/kv-lease", this::grantLease);
        application.post("/api/kv-keep/{lease}", this::renewLease);
    }

    private synchronized Object listPage(Context context) {
        if (failureStatus != 0) {
            return respondWithStatus(context, failureStatus);
        }
        String prefix = context.query("prefix").value("");
        String afterKey = context.query("after").value("");
        ArrayNode page = mapper.createArrayNode();
        boolean hasMore = false;
        for (Map.Entry<String, Item> entry : itemsByKey.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || entry.getKey().compareTo(afterKey) <= 0) {
                continue;
            }
            if (page.size() == entriesPerPage) {
                hasMore = true;
                break;
            }
            page.add(toNode(entry.getKey(), entry.getValue()));
        }
        ObjectNode response = mapper.createObjectNode();
        response.set("items", page);
        response.put("more_pages", hasMore).put("store_revision", revision);
        return respondWithJson(context, response);
    }

    private Object watch(Context context) throws InterruptedException {
        String prefix = context.query("prefix").value("");
        long afterRevision = context.query("after").longValue();
        long deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(context.query("wait_ms").longValue());
        synchronized (this) {
            int generation = watchGeneration;
            while (true) {
                if (generation < watchGeneration) {
                    awaitClose();
                    return respondWithStatus(context, 500);
                }
                if (failureStatus != 0) {
                    return respondWithStatus(context, failureStatus);
                }
                if (afterRevision < oldestWatchableRevision || afterRevision > revision) {
                    return respondWithStatus(context, 410);
                }
                ArrayNode events = mapper.createArrayNode();
                history.stream()
                        .filter(event -> event.path("rev").asLong() > afterRevision
                                && event.path("key").asText().startsWith(prefix))
                        .forEach(events::add);
                long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
                if (!events.isEmpty() || remainingMillis <= 0) {
                    ObjectNode response = mapper.createObjectNode();
                    response.set("events", events);
                    return respondWithJson(context, response.put("store_revision", revision));
                }
                waitingWatches++;
                wait(remainingMillis);
                waitingWatches -= generation == watchGeneration ? 1 : 0;
            }
        }
    }

    private synchronized void awaitClose() throws InterruptedException {
        while (!closed) {
            wait();
        }
    }

    private synchronized Object transact(Context context) throws IOException {
        if (failureStatus != 0) {
            return respondWithStatus(context, failureStatus);
        }
        JsonNode body = mapper.readTree(context.body().bytes());
        for (JsonNode write : body.path("set_keys")) {
            long leaseId = write.path("lease").asLong();
            if (leaseId != 0 && !activeLeases.contains(leaseId)) {
                return respondWithStatus(context, 404);
            }
        }
        for (JsonNode write : body.path("set_keys")) {
            put(
                    write.path("key").asText(),
                    write.path("value").binaryValue(),
                    write.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            remove(key.asText());
        }
        if (dropsWriteResponses) {
            return respondWithStatus(context, 500);
        }
        return respondWithJson(context, mapper.createObjectNode().put("rev", revision));
    }

    private synchronized Object grantLease(Context context) throws IOException {
        if (failureStatus != 0) {
            return respondWithStatus(context, failureStatus);
        }
        activeLeases.add(++lastLeaseId);
        JsonNode request = mapper.readTree(context.body().bytes());
        return respondWithJson(
                context,
                mapper.createObjectNode()
                        .put("lease", lastLeaseId)
                        .put("ttl_time", request.path("ttl_time").asText()));
    }

    private synchronized Object renewLease(Context context) {
        if (failureStatus != 0) {
            return respondWithStatus(context, failureStatus);
        }
        return activeLeases.contains(context.path("lease").longValue())
                ? respondWithJson(context, mapper.createObjectNode().put("ttl_time", "8000ms"))
                : respondWithStatus(context, 404);
    }

    private void put(String key, byte[] value, long leaseId) {
        Item item = new Item(value, ++revision, leaseId);
        itemsByKey.put(key, item);
        appendEvent(toNode(key, item));
    }

    private void appendEvent(ObjectNode event) {
        history.add(event);
        notifyAll();
    }

    private ObjectNode toNode(String key, Item item) {
        return mapper.createObjectNode()
                .put("key", key)
                .put("value", item.value())
                .put("rev", item.revision())
                .put("create_rev", item.revision())
                .put("lease", item.leaseId());
    }

    private Object respondWithStatus(Context context, int status) {
        context.setResponseHeader(ERA_HEADER, era);
        context.setResponseCode(StatusCode.valueOf(status));
        return "{}";
    }

    private Object respondWithJson(Context context, ObjectNode body) {
        context.setResponseHeader(ERA_HEADER, era);
        context.setResponseType(MediaType.json);
        return body.toString();
    }

    record Item(byte[] value, long revision, long leaseId) {}

    /** The contents of the store at one moment. */
    public record Copy(
            Map<String, Item> items,
            List<ObjectNode> history,
            Set<Long> leases,
            long revision,
            long oldestWatchableRevision,
            long lastLeaseId) {}
}
