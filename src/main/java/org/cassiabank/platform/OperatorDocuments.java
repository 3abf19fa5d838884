package org.cassiabank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cassiabank.declaration.ConnectionLimits;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.RequestLimits;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.VersionedConfiguration;

/**
 * Reads the operators' configuration: one list of items, each with a type, a name and a body.
 */
final class OperatorDocuments {
    private static final int HEXADECIMAL = 16;
    /** Only for callers that state no deadline; routes have timeouts of their own. */
    private static final long SERVICE_DEADLINE_MILLIS = 60_000;

    private final DocumentReader reader;
    private final List<Declaration> declarations = new ArrayList<>();

    private OperatorDocuments(DocumentReader reader) {
        this.reader = reader;
    }

    static VersionedConfiguration read(StoreEntry entry) {
        return new OperatorDocuments(DocumentReader.of(entry.key())).readAll(entry.value());
    }

    private VersionedConfiguration readAll(byte[] document) {
        JsonNode root = reader.parse(document);
        long version = version(reader.text(root, "", "version"));
        int position = 0;
        for (JsonNode item : root.path("resources")) {
            String path = "resources[" + position + "].";
            try {
                readItem(item, path);
            } catch (IllegalArgumentException exception) {
                reader.report(path, exception.getMessage());
            }
            position++;
        }
        reader.throwIfAny();
        return new VersionedConfiguration(version, declarations);
    }

    private void readItem(JsonNode item, String path) {
        JsonNode body = item.path("spec");
        switch (reader.text(item, path, "resource_type")) {
            case "routes" -> readRoute(reader.text(item.path("metadata"), path + "metadata.", "name"), body, path);
            case "services" -> {
                String name = reader.text(item.path("metadata"), path + "metadata.", "name");
                // Slots are stated by each server, and the floor is a share from the daemon's settings.
                declarations.add(new ServiceDeclaration(name, 1, 0, SERVICE_DEADLINE_MILLIS));
            }
            case "limits" -> readLimits(body, path + "spec.");
            default -> {
                // Other types belong to matters that this platform does not use here.
            }
        }
    }

    private void readLimits(JsonNode body, String where) {
        declarations.add(new ConnectionLimits(
                reader.bytes(body, where, "max_header_bytes"),
                reader.bytes(body, where, "max_body_bytes"),
                body.has("header_timeout") ? reader.millis(body, where, "header_timeout") : 0,
                body.has("idle_timeout") ? reader.millis(body, where, "idle_timeout") : 0));
    }

    private void readRoute(String name, JsonNode body, String path) {
        String where = path + "spec.";
        String host = reader.text(body, where, "host").toLowerCase(Locale.ROOT);
        String prefix = reader.text(body, where, "prefix");
        // Requests of all other kinds may run once at most.
        boolean repeatable = reader.text(body, where, "kind").equals("idempotent");
        RequestLimits limits = new RequestLimits(
                reader.millis(body, where, "timeout"),
                reader.millis(body, where, "target_latency"),
                reader.positive(body, where, "max_attempts", 1),
                body.path("priority").asInt(0));
        JsonNode parts = body.path("weighted_clusters");
        if (!parts.isArray()) {
            add(name, reader.text(body, where, "service"), host, prefix, 1, repeatable, limits);
            return;
        }
        int position = 0;
        for (JsonNode part : parts) {
            String service = reader.text(part, where + "weighted_clusters[" + position + "].", "service");
            int weight = part.path("weight").asInt(0);
            if (weight > 0) {
                add(name + "." + position, service, host, prefix, weight, repeatable, limits);
            }
            position++;
        }
    }

    private void add(
            String name,
            String service,
            String host,
            String prefix,
            int weight,
            boolean repeatable,
            RequestLimits limits) {
        declarations.add(new Selector(
                name, service, Set.of(), prefix, "*", Map.of(), weight, repeatable, CostHint.LEARNED, 0, host, limits));
    }

    private long version(String text) {
        try {
            return Long.parseLong(text, HEXADECIMAL);
        } catch (NumberFormatException exception) {
            reader.report("version", "expected hexadecimal digits, not \"" + text + "\"");
            return 0;
        }
    }
}
