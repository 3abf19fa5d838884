package org.cassiabank.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.cassiabank.http.JoobyServer;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;

/**
 * Serves metrics, health checks and status over HTTP to operators, monitoring and the platform's load balancer.
 */
final class AdminEndpoint implements KernelService {
    private static final int MAXIMUM_REQUEST_BYTES = 64 * 1_024;

    private final ObjectMapper mapper = JsonMapper.builder().build();
    private final ProxySettings settings;
    private Kernel kernel;
    private JoobyServer server;
    private volatile boolean draining;

    private AdminEndpoint(ProxySettings settings) {
        this.settings = settings;
    }

    static AdminEndpoint create(ProxySettings settings) {
        return new AdminEndpoint(Objects.requireNonNull(settings, "settings"));
    }

    @Override
    public void start(Kernel startedKernel) {
        kernel = startedKernel;
        server = JoobyServer.start(settings.adminAddress().toString(), MAXIMUM_REQUEST_BYTES, this::routes);
    }

    @Override
    public void stop() {
        server.close();
    }

    /** Makes the health check fail, so that the load balancer sends no further callers to this proxy. */
    void startDraining() {
        draining = true;
    }

    private void routes(Jooby application) {
        application.get("/metrics", context -> {
            context.setResponseType(MediaType.text);
            return kernel.get(ServiceNames.METRICS).toText();
        });
        application.get(settings.platform().healthPath(), this::health);
        application.get("/ready", context -> plainTextReply(context, isReady(), isReady() ? "ready" : "not ready"));
        application.get("/status", this::status);
    }

    private String health(Context context) {
        if (draining) {
            return plainTextReply(context, false, "draining");
        }
        // An entry proxy that cannot claim keys yet refuses unrepeatable requests that other entry proxies could run,
        // so it stays out of the load balancer until then.
        boolean serving = isReady() && kernel.get(ServiceNames.CLAIM_CLIENT).isReady();
        return plainTextReply(context, serving, serving ? "serving" : "starting");
    }

    private boolean isReady() {
        return kernel.get(ServiceNames.FLEET_STATE).isReady()
                && kernel.get(ServiceNames.WARM_START).isDone();
    }

    private static String plainTextReply(Context context, boolean healthy, String text) {
        context.setResponseCode(healthy ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE);
        return text + "\n";
    }

    private String status(Context context) throws JsonProcessingException {
        FleetState fleet = kernel.get(ServiceNames.FLEET_STATE);
        ClaimKeeper keeper = kernel.get(ServiceNames.CLAIM_KEEPER);
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("name", settings.name());
        status.put("revision", fleet.revision());
        status.put("listIndex", fleet.view().instances().index());
        status.put("draining", draining);
        status.put("watcher", kernel.get(ServiceNames.REPLICATION).planner().isWatcher());
        status.put("claims", Map.of("ready", keeper.isReady(), "records", keeper.recordCount()));
        status.put("shards", kernel.get(ServiceNames.OWNED_SHARDS).serverHealthByShard());
        context.setResponseType(MediaType.json);
        return mapper.writeValueAsString(status);
    }
}
