package org.cassiabank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.StoreEntry;

/**
 * Parses the registrations that backend servers write to the store.
 */
final class ServerDocuments {

    private ServerDocuments() {}

    /**
     * Parses the registration of a server. The field {@code sequence} counts the reports of a server, and {@code
     * warmup_left} is the remaining time of its cold start; neither is needed, because the scheduler detects a cold
     * start from the responses.
     *
     * @param entry the entry, whose key is the prefix and the name of the server
     * @param defaultRegion the region of the server, because the document has none
     * @param keyPrefix the prefix of the key
     * @return the server
     * @throws org.cassiabank.kernel.CassiabankException with all findings if the document is invalid
     */
    static Instance read(StoreEntry entry, String defaultRegion, String keyPrefix) {
        DocumentReader reader = DocumentReader.of(entry.key());
        JsonNode root = reader.parse(entry.value());
        JsonNode info = root.path("info");
        String address = reader.requiredText(root, "", "address");
        String service = reader.requiredText(info, "info.", "service");
        String zone = reader.requiredText(info, "info.", "zone");
        String version = info.path("version").asText("");
        int slots = reader.positiveInteger(info, "info.", "slots", 0);
        InstanceState state = parseState(reader, root.path("status"));
        // "born" is the start time of the server in milliseconds, which distinguishes two starts under the same name.
        long startMillis = root.path("born").asLong(0);
        if (!root.path("born").isMissingNode() && !root.path("born").isIntegralNumber()) {
            reader.addFinding("born", "expected the whole milliseconds of the server's start");
        }
        if (address.indexOf(':') <= 0) {
            reader.addFinding("address", "expected HOST:PORT");
        }
        reader.throwIfAny();
        return new Instance(
                entry.key().substring(keyPrefix.length()),
                InstanceRole.BACKEND,
                address,
                defaultRegion,
                zone,
                state,
                version.isEmpty()
                        ? Map.of(LabelRule.SERVICE_LABEL, service)
                        : Map.of(LabelRule.SERVICE_LABEL, service, "version", version),
                slots,
                startMillis);
    }

    private static InstanceState parseState(DocumentReader reader, JsonNode status) {
        return switch (reader.requiredText(status, "status.", "state")) {
            case "ready" -> InstanceState.LIVE;
            case "draining" -> InstanceState.LEAVING;
            default -> {
                reader.addFinding("status.state", "expected ready or draining");
                yield InstanceState.LEAVING;
            }
        };
    }
}
