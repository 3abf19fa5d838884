package org.cassiabank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.cassiabank.declaration.ConnectionLimits;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.CustomerDeclaration;
import org.cassiabank.declaration.CustomerKeys;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.RequestLimits;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.VersionedConfiguration;

/**
 * Parses the operators' configuration: a JSON document with a list of items, each with a type, a name and a body.
 */
final class OperatorDocuments {
    private static final int HEXADECIMAL_RADIX = 16;
    private static final Set<String> REPEATABLE_KINDS = Set.of("idempotent", "download");
    /** Applies only to callers that set no deadline; routes have their own timeouts. */
    private static final long DEFAULT_DEADLINE_MILLIS = 60_000;

    private final DocumentReader reader;
    private final List<Declaration> declarations = new ArrayList<>();

    private OperatorDocuments(DocumentReader reader) {
        this.reader = reader;
    }

    /**
     * Parses the entry of the operators' configuration.
     *
     * @param entry the entry
     * @return the configuration
     * @throws org.cassiabank.kernel.CassiabankException with all findings if the document is invalid
     * @throws IllegalArgumentException if the version is 0 or negative
     */
    static VersionedConfiguration read(StoreEntry entry) {
        return new OperatorDocuments(DocumentReader.of(entry.key())).readAll(entry.value());
    }

    private VersionedConfiguration readAll(byte[] document) {
        JsonNode root = reader.parse(document);
        long version = parseVersion(reader.requiredText(root, "", "version"));
        int position = 0;
        for (JsonNode item : root.path("resources")) {
            String itemPath = "resources[" + position + "].";
            try {
                readItem(item, itemPath);
            } catch (IllegalArgumentException exception) {
                reader.addFinding(itemPath, exception.getMessage());
            }
            position++;
        }
        reportKeyConflicts();
        reader.throwIfAny();
        return new VersionedConfiguration(version, declarations);
    }

    private void readItem(JsonNode item, String itemPath) {
        JsonNode body = item.path("spec");
        switch (reader.requiredText(item, itemPath, "resource_type")) {
            case "routes" ->
                readRoute(reader.requiredText(item.path("metadata"), itemPath + "metadata.", "name"), body, itemPath);
            case "services" -> {
                String name = reader.requiredText(item.path("metadata"), itemPath + "metadata.", "name");
                // Each server document has its own slots, and the floor is a percentage in the settings of the daemon.
                declarations.add(new ServiceDeclaration(name, 1, 0, DEFAULT_DEADLINE_MILLIS));
            }
            case "tenants" ->
                readCustomer(
                        reader.requiredText(item.path("metadata"), itemPath + "metadata.", "name"), body, itemPath);
            case "limits" -> readLimits(body, itemPath + "spec.");
            default -> {
                // Other resource types configure nothing that the proxies use.
            }
        }
    }

    private void readCustomer(String name, JsonNode body, String itemPath) {
        String specPath = itemPath + "spec.";
        JsonNode priority = body.path("priority");
        declarations.add(CustomerDeclaration.ofKeys(
                name,
                reader.optionalTexts(body, specPath, "api_keys"),
                priority.canConvertToInt() ? OptionalInt.of(priority.intValue()) : OptionalInt.empty(),
                reader.optionalNumber(body, specPath, "rate_per_s"),
                Math.round(reader.optionalNumber(body, specPath, "burst"))));
    }

    private void reportKeyConflicts() {
        List<CustomerDeclaration> customers = declarations.stream()
                .filter(CustomerDeclaration.class::isInstance)
                .map(CustomerDeclaration.class::cast)
                .toList();
        CustomerKeys.findConflicts(customers).forEach(conflict -> reader.addFinding("resources", conflict.message()));
    }

    private void readLimits(JsonNode body, String specPath) {
        declarations.add(new ConnectionLimits(
                reader.optionalBytes(body, specPath, "max_header_bytes"),
                reader.optionalBytes(body, specPath, "max_body_bytes"),
                body.has("header_timeout") ? reader.requiredMillis(body, specPath, "header_timeout") : 0,
                body.has("idle_timeout") ? reader.requiredMillis(body, specPath, "idle_timeout") : 0));
    }

    private void readRoute(String name, JsonNode body, String itemPath) {
        String specPath = itemPath + "spec.";
        String host = reader.requiredText(body, specPath, "host").toLowerCase(Locale.ROOT);
        String prefix = reader.requiredText(body, specPath, "prefix");
        // Requests of any other kind must run at most once.
        boolean repeatable = REPEATABLE_KINDS.contains(reader.requiredText(body, specPath, "kind"));
        boolean anonymous = body.path("public").asBoolean(false);
        RequestLimits limits = new RequestLimits(
                reader.requiredMillis(body, specPath, "timeout"),
                reader.requiredMillis(body, specPath, "target_latency"),
                reader.positiveInteger(body, specPath, "max_attempts", 1),
                body.path("priority").asInt(0));
        JsonNode weightedServices = body.path("weighted_clusters");
        if (!weightedServices.isArray()) {
            addSelector(
                    name,
                    reader.requiredText(body, specPath, "service"),
                    host,
                    prefix,
                    1,
                    repeatable,
                    anonymous,
                    limits);
            return;
        }
        int position = 0;
        for (JsonNode weightedService : weightedServices) {
            String service =
                    reader.requiredText(weightedService, specPath + "weighted_clusters[" + position + "].", "service");
            int weight = weightedService.path("weight").asInt(0);
            if (weight > 0) {
                addSelector(name + "." + position, service, host, prefix, weight, repeatable, anonymous, limits);
            }
            position++;
        }
    }

    private void addSelector(
            String name,
            String service,
            String host,
            String prefix,
            int weight,
            boolean repeatable,
            boolean anonymous,
            RequestLimits limits) {
        declarations.add(new Selector(
                name,
                service,
                Set.of(),
                prefix,
                "*",
                Map.of(),
                weight,
                repeatable,
                CostHint.LEARNED,
                0,
                host,
                anonymous,
                limits));
    }

    private long parseVersion(String text) {
        try {
            return Long.parseLong(text, HEXADECIMAL_RADIX);
        } catch (NumberFormatException exception) {
            reader.addFinding("version", "expected hexadecimal digits, not \"" + text + "\"");
            return 0;
        }
    }
}
