package org.cassiabank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.StoreEntry;

/**
 * Reads what backend servers write about themselves.
 */
final class ServerDocuments {

    private ServerDocuments() {}

    /**
     * Reads a server. {@code sequence} counts the reports of a server and {@code warmup_left} its cold start; neither
     * is needed, because the scheduler learns a cold start from the responses.
     */
    static Instance read(StoreEntry entry, String region, String prefix) {
        DocumentReader reader = DocumentReader.of(entry.key());
        JsonNode root = reader.parse(entry.value());
        JsonNode info = root.path("info");
        String address = reader.text(root, "", "address");
        String service = reader.text(info, "info.", "service");
        String zone = reader.text(info, "info.", "zone");
        String version = info.path("version").asText("");
        int slots = reader.positive(info, "info.", "slots", 0);
        InstanceState state = state(reader, root.path("status"));
        // "born" is the time of the server's start, which tells two starts under one name apart.
        long started = root.path("born").asLong(0);
        if (!root.path("born").isMissingNode() && !root.path("born").isIntegralNumber()) {
            reader.report("born", "expected the whole milliseconds of the server's start");
        }
        if (address.indexOf(':') <= 0) {
            reader.report("address", "expected HOST:PORT");
        }
        reader.throwIfAny();
        return new Instance(
                entry.key().substring(prefix.length()),
                InstanceRole.BACKEND,
                address,
                region,
                zone,
                state,
                version.isEmpty()
                        ? Map.of(LabelRule.SERVICE_LABEL, service)
                        : Map.of(LabelRule.SERVICE_LABEL, service, "version", version),
                slots,
                started);
    }

    private static InstanceState state(DocumentReader reader, JsonNode status) {
        return switch (reader.text(status, "status.", "state")) {
            case "ready" -> InstanceState.LIVE;
            case "draining" -> InstanceState.LEAVING;
            default -> {
                reader.report("status.state", "expected ready or draining");
                yield InstanceState.LEAVING;
            }
        };
    }
}
