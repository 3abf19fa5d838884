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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cassiabank.http.JoobyServer;
import org.cassiabank.load.FreePorts;

/** A stand-in for the platform's metadata store, with the faults that the platform's pages name on a switch. */
public final class StoreStandIn implements AutoCloseable {
    private static final int MAXIMUM_REQUEST_BYTES = 2 << 20;

    private final JsonMapper mapper = JsonMapper.builder().build();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Boolean> leases = new HashMap<>();
    private final JoobyServer server;
    private final URI address;
    private long revision = 100;
    private long oldestKnown = 100;
    private long lastLease;
    private int pageSize = 500;
    private int refusal;
    private boolean losesAnswers;
    private volatile long delayMillis;

    private StoreStandIn() {
        String host = FreePorts.nextLoopbackAddress();
        address = URI.create("http://" + host);
        server = JoobyServer.start(host, MAXIMUM_REQUEST_BYTES, this::routes);
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
        if (items.remove(key) != null) {
            record(mapper.createObjectNode()
                    .put("key", key)
                    .put("rev", ++revision)
                    .put("deleted", true));
        }
    }

    /** Ends all leases and removes their keys, as after an outage during which nobody could renew. */
    public synchronized void expireLeases() {
        leases.clear();
        List<String> leased = items.entrySet().stream()
                .filter(entry -> entry.getValue().lease() != 0)
                .map(Map.Entry::getKey)
                .toList();
        leased.forEach(this::remove);
    }

    public synchronized void compactHistory() {
        history.clear();
        oldestKnown = revision;
    }

    /** Answers every call with a status; 0 answers as usual. */
    public synchronized void failWithStatus(int status) {
        refusal = status;
    }

    /** Answers every call later by a time. */
    public void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    /** Carries out writes and closes their connections without a response. */
    public synchronized void dropResponses(boolean lose) {
        losesAnswers = lose;
    }

    synchronized void setPageSize(int size) {
        pageSize = size;
    }

    public synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    synchronized long revision() {
        return revision;
    }

    @Override
    public void close() {
        server.close();
    }

    private void routes(Jooby application) {
        application.before(context -> TimeUnit.MILLISECONDS.sleep(delayMillis));
        application.get("/api/kv-range", this::range);
        application.get("/api/kv-watch", this::watch);
        application.post("/api/kv-txn", this::transact);
        application.post("/api/kv-lease", this::grant);
        application.post("/api/kv-keep/{lease}", this::renew);
        application.delete("/api/kv-lease-end/{lease}", this::end);
    }

    private synchronized Object range(Context context) {
        if (refusal != 0) {
            return refuse(context, refusal);
        }
        String prefix = context.query("prefix").value("");
        String after = context.query("after").value("");
        ArrayNode page = mapper.createArrayNode();
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (page.size() == pageSize) {
                more = true;
                break;
            }
            page.add(toNode(entry.getKey(), entry.getValue()));
        }
        ObjectNode answer = mapper.createObjectNode();
        answer.set("items", page);
        answer.put("more_pages", more).put("store_revision", revision);
        return json(context, answer);
    }

    private Object watch(Context context) throws InterruptedException {
        String prefix = context.query("prefix").value("");
        long after = context.query("after").longValue();
        long deadline = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(context.query("wait_ms").longValue());
        synchronized (this) {
            while (true) {
                if (refusal != 0) {
                    return refuse(context, refusal);
                }
                if (after < oldestKnown) {
                    return refuse(context, 410);
                }
                ArrayNode events = mapper.createArrayNode();
                history.stream()
                        .filter(event -> event.path("rev").asLong() > after
                                && event.path("key").asText().startsWith(prefix))
                        .forEach(events::add);
                long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
                if (!events.isEmpty() || left <= 0) {
                    ObjectNode answer = mapper.createObjectNode();
                    answer.set("events", events);
                    return json(context, answer.put("store_revision", revision));
                }
                wait(left);
            }
        }
    }

    private synchronized Object transact(Context context) throws IOException {
        if (refusal != 0) {
            return refuse(context, refusal);
        }
        JsonNode body = mapper.readTree(context.body().bytes());
        for (JsonNode set : body.path("set_keys")) {
            long lease = set.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return refuse(context, 404);
            }
        }
        for (JsonNode set : body.path("set_keys")) {
            put(
                    set.path("key").asText(),
                    set.path("value").binaryValue(),
                    set.path("lease").asLong());
        }
        if (losesAnswers) {
            return refuse(context, 500);
        }
        return json(context, mapper.createObjectNode().put("rev", revision));
    }

    private synchronized Object grant(Context context) throws IOException {
        if (refusal != 0) {
            return refuse(context, refusal);
        }
        leases.put(++lastLease, true);
        JsonNode asked = mapper.readTree(context.body().bytes());
        return json(
                context,
                mapper.createObjectNode()
                        .put("lease", lastLease)
                        .put("ttl_time", asked.path("ttl_time").asText()));
    }

    private synchronized Object renew(Context context) {
        if (refusal != 0) {
            return refuse(context, refusal);
        }
        return leases.containsKey(context.path("lease").longValue())
                ? json(context, mapper.createObjectNode().put("ttl_time", "8000ms"))
                : refuse(context, 404);
    }

    private synchronized Object end(Context context) {
        long ended = context.path("lease").longValue();
        leases.remove(ended);
        List<String> keys = items.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == ended)
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(this::remove);
        return json(context, mapper.createObjectNode());
    }

    private void put(String key, byte[] value, long lease) {
        Item item = new Item(value, ++revision, lease);
        items.put(key, item);
        record(toNode(key, item));
    }

    private void record(ObjectNode event) {
        history.add(event);
        notifyAll();
    }

    private ObjectNode toNode(String key, Item item) {
        return mapper.createObjectNode()
                .put("key", key)
                .put("value", item.value())
                .put("rev", item.revision())
                .put("create_rev", item.revision())
                .put("lease", item.lease());
    }

    private static Object refuse(Context context, int status) {
        context.setResponseCode(StatusCode.valueOf(status));
        return "{}";
    }

    private static Object json(Context context, ObjectNode body) {
        context.setResponseType(MediaType.json);
        return body.toString();
    }

    private record Item(byte[] value, long revision, long lease) {}
}
