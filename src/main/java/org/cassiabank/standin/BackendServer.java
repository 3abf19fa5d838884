package org.cassiabank.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.util.List;
import java.util.Map;
import org.cassiabank.http.JoobyServer;

/**
 * A stand-in backend server: it runs requests in slots, sheds what exceeds them, and has switchable gray faults.
 */
final class BackendServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LARGEST_REQUEST = 4 * 1024 * 1024;
    private static final List<String> METHODS = List.of("GET", "POST", "PUT", "PATCH", "DELETE");

    private final BackendSettings settings;
    private final BackendConnections connections;
    private final BackendSlots slots;
    private final BackendRecord executions;
    private final BackendWork work;
    private final Runnable whenDrainRequested;
    private JoobyServer server;

    private BackendServer(BackendSettings settings, BackendRecord executions, Runnable whenDrainRequested) {
        this.executions = executions;
        this.settings = settings;
        this.connections = BackendConnections.create(settings.connections());
        this.slots = BackendSlots.create(settings.slots());
        this.work = BackendWork.of(settings, connections, slots, executions);
        this.whenDrainRequested = whenDrainRequested;
    }

    /** Creates a server that runs the action when it is told to drain. */
    static BackendServer create(BackendSettings settings, BackendRecord executions, Runnable whenDrainRequested) {
        return new BackendServer(settings, executions, whenDrainRequested);
    }

    void start() {
        BackendConnectionExtension.register(settings.port(), connections);
        server = JoobyServer.start(settings.host() + ":" + settings.port(), LARGEST_REQUEST, this::addRoutes);
    }

    /** Sheds new requests, waits for the running ones and stops. */
    void drainAndStop() throws InterruptedException {
        long start = System.nanoTime();
        slots.drain();
        slots.awaitIdle(settings.drainMillis());
        long lingered = (System.nanoTime() - start) / 1_000_000;
        // Requests written to open connections before their senders learned of the drain are still shed, not broken.
        if (lingered < settings.lingerMillis()) {
            Thread.sleep(settings.lingerMillis() - lingered);
        }
        server.close();
    }

    private void addRoutes(Jooby application) {
        application.get("/health", this::health);
        application.get("/load", this::load);
        application.post("/control/drain", context -> {
            slots.drain();
            whenDrainRequested.run();
            return context.send("draining\n");
        });
        application.post("/control/faults", this::switchFaults);
        application.get("/control/faults", context -> sendJson(context, work.faults()));
        application.get("/control/record", this::sendRecord);
        for (String method : METHODS) {
            application.route(method, "/*", work::serve);
        }
    }

    private Context health(Context context) {
        boolean good =
                work.faults().lie() || !slots.isDraining() && !work.faults().isNoticeable();
        context.setResponseCode(good ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE);
        return context.send(good ? "good\n" : "bad\n");
    }

    private Context load(Context context) throws JsonProcessingException {
        return sendJson(
                context,
                Map.of("running", slots.running(), "slots", settings.slots(), "connections", connections.size()));
    }

    private Context switchFaults(Context context) throws JsonProcessingException {
        // Jooby decodes the default content type of curl as a form and leaves no body to read.
        if (!String.valueOf(context.getRequestType()).startsWith(MediaType.JSON)) {
            context.setResponseCode(StatusCode.UNSUPPORTED_MEDIA_TYPE);
            return context.send("send Content-Type: application/json\n");
        }
        BackendFaults faults;
        try {
            faults = JSON.readValue(context.body().value("{}"), BackendFaults.class);
        } catch (JsonProcessingException exception) {
            context.setResponseCode(StatusCode.BAD_REQUEST);
            return context.send(exception.getOriginalMessage() + "\n");
        }
        work.switchFaults(faults);
        if (faults.silence()) {
            connections.silence(connections.of(context));
        }
        return sendJson(context, faults);
    }

    private Context sendRecord(Context context) throws JsonProcessingException {
        Map<String, Object> document =
                executions.toDocument(settings.name(), context.query("summary").booleanValue(false));
        document.put("refusedConnections", connections.refused());
        return sendJson(context, document);
    }

    private static Context sendJson(Context context, Object document) throws JsonProcessingException {
        context.setResponseType(MediaType.json);
        return context.send(JSON.writeValueAsBytes(document));
    }
}
