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
 * A stand-in for a backend server: runs requests in slots, sheds requests when all slots are busy and injects the gray
 * faults that {@code POST /control/faults} sets.
 */
final class BackendServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAXIMUM_REQUEST_BYTES = 4 * 1024 * 1024;
    private static final List<String> METHODS = List.of("GET", "POST", "PUT", "PATCH", "DELETE");

    private final BackendSettings settings;
    private final BackendConnections connections;
    private final BackendSlots slots;
    private final BackendExecutionRecord executionRecord;
    private final BackendRequestHandler requestHandler;
    private final Runnable drainAction;
    private JoobyServer server;

    private BackendServer(BackendSettings settings, BackendExecutionRecord executionRecord, Runnable drainAction) {
        this.executionRecord = executionRecord;
        this.settings = settings;
        this.connections = BackendConnections.create(settings.maximumConnections());
        this.slots = BackendSlots.create(settings.slots());
        this.requestHandler = BackendRequestHandler.of(settings, connections, slots, executionRecord);
        this.drainAction = drainAction;
    }

    /** Creates a server that runs {@code drainAction} on each {@code POST /control/drain}. */
    static BackendServer create(
            BackendSettings settings, BackendExecutionRecord executionRecord, Runnable drainAction) {
        return new BackendServer(settings, executionRecord, drainAction);
    }

    void start() {
        BackendConnectionExtension.register(settings.port(), connections);
        server = JoobyServer.start(settings.host() + ":" + settings.port(), MAXIMUM_REQUEST_BYTES, this::addRoutes);
    }

    /** Sheds new requests, waits for the running ones at most the maximum drain time, and stops. */
    void drainAndStop() throws InterruptedException {
        long startNanos = System.nanoTime();
        slots.startDraining();
        slots.awaitAllAnswered(settings.maximumDrainMillis());
        long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        // Requests that were sent on open connections before the sender saw the drain are shed instead of broken.
        if (elapsedMillis < settings.minimumDrainMillis()) {
            Thread.sleep(settings.minimumDrainMillis() - elapsedMillis);
        }
        server.close();
    }

    private void addRoutes(Jooby application) {
        application.get("/health", this::sendHealth);
        application.get("/load", this::sendLoad);
        application.post("/control/drain", context -> {
            slots.startDraining();
            drainAction.run();
            return context.send("draining\n");
        });
        application.post("/control/faults", this::switchFaults);
        application.get("/control/faults", context -> sendJson(context, requestHandler.faults()));
        application.get("/control/record", this::sendRecord);
        for (String method : METHODS) {
            application.route(method, "/*", requestHandler::handle);
        }
    }

    private Context sendHealth(Context context) {
        boolean isHealthy = requestHandler.faults().lie()
                || !slots.isDraining() && !requestHandler.faults().isNoticeable();
        context.setResponseCode(isHealthy ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE);
        return context.send(isHealthy ? "good\n" : "bad\n");
    }

    private Context sendLoad(Context context) throws JsonProcessingException {
        return sendJson(
                context,
                Map.of(
                        "running",
                        slots.runningRequests(),
                        "slots",
                        settings.slots(),
                        "connections",
                        connections.openConnections()));
    }

    private Context switchFaults(Context context) throws JsonProcessingException {
        // Jooby decodes the default content type of curl as a form, after which no body can be read.
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
        requestHandler.setFaults(faults);
        if (faults.silence()) {
            connections.silenceAllExcept(connections.connectionOf(context));
        }
        return sendJson(context, faults);
    }

    private Context sendRecord(Context context) throws JsonProcessingException {
        Map<String, Object> document = executionRecord.toDocument(
                settings.name(), context.query("summary").booleanValue(false));
        document.put("refusedConnections", connections.refusedConnections());
        return sendJson(context, document);
    }

    private static Context sendJson(Context context, Object document) throws JsonProcessingException {
        context.setResponseType(MediaType.json);
        return context.send(JSON.writeValueAsBytes(document));
    }
}
