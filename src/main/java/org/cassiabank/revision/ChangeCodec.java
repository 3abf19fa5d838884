package org.cassiabank.revision;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.DeclarationCodec;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.declaration.EntityKind;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * Reads and writes changes as JSON documents. Reading reports all faults of a document together.
 */
final class ChangeCodec {
    static final JsonMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private static final String SOURCE = "change document";
    private static final String PUT = "put";
    private static final String DELETE = "delete";

    private final FindingCollector findings = FindingCollector.create();

    private ChangeCodec() {}

    static byte[] write(Change change) {
        ObjectNode document = JSON.createObjectNode();
        document.put("revision", change.revision()).put("operation", change.operationId());
        var edits = document.putArray("edits");
        for (Edit edit : change.edits()) {
            ObjectNode node = edits.addObject();
            node.put("action", edit instanceof PutEdit ? PUT : DELETE)
                    .put("kind", edit.key().kind().keyword())
                    .put("name", edit.key().name())
                    .put("read-revision", edit.readRevision());
            if (edit instanceof PutEdit put) {
                node.set("declaration", DeclarationCodec.write(put.declaration()));
            }
        }
        try {
            return JSON.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Change read(byte[] document) {
        Objects.requireNonNull(document, "document");
        return new ChangeCodec().readChange(document);
    }

    private Change readChange(byte[] document) {
        JsonNode root = parse(document);
        reportUnknownKeys(root, "", Set.of("revision", "operation", "edits"));
        long revision = readNumber(root, "", "revision");
        String operationId = readText(root, "", "operation");
        List<Edit> edits = new ArrayList<>();
        JsonNode editNodes = root.path("edits");
        if (!editNodes.isArray()) {
            report("edits", "expected an array");
        }
        for (int index = 0; index < editNodes.size(); index++) {
            readEdit(editNodes.get(index), "edits[" + index + "]").ifPresent(edits::add);
        }
        findings.throwIfAny();
        try {
            return new Change(revision, operationId, edits);
        } catch (IllegalArgumentException e) {
            report("", e.getMessage());
            throw CassiabankException.ofFindings(findings.toList());
        }
    }

    private JsonNode parse(byte[] document) {
        try {
            JsonNode root = JSON.readTree(document);
            if (root.isObject()) {
                return root;
            }
            report("", "expected a JSON object");
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 1 : Math.max(1, location.getLineNr());
            String column = location == null ? "" : " at column " + location.getColumnNr();
            findings.add(Finding.at(SOURCE, line, "", "JSON syntax" + column + ": " + e.getOriginalMessage()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        throw CassiabankException.ofFindings(findings.toList());
    }

    private Optional<Edit> readEdit(JsonNode node, String path) {
        if (!node.isObject()) {
            report(path, "expected an object");
            return Optional.empty();
        }
        String action = readText(node, path, "action");
        Optional<EntityKind> kind = EntityKind.fromKeyword(readText(node, path, "kind"));
        String name = readText(node, path, "name");
        long readRevision = readNumber(node, path, "read-revision");
        if (kind.isEmpty()) {
            report(path + ".kind", "expected " + EntityKind.describeKeywords());
            return Optional.empty();
        }
        EntityKey key = new EntityKey(kind.get(), name);
        try {
            return switch (action) {
                case PUT -> {
                    reportUnknownKeys(node, path, Set.of("action", "kind", "name", "read-revision", "declaration"));
                    Optional<Declaration> declaration =
                            DeclarationCodec.read(key, node.path("declaration"), path + ".declaration", this::report);
                    yield declaration.map(present -> new PutEdit(present, readRevision));
                }
                case DELETE -> {
                    reportUnknownKeys(node, path, Set.of("action", "kind", "name", "read-revision"));
                    yield Optional.of(new DeleteEdit(key, readRevision));
                }
                default -> {
                    report(path + ".action", "expected put or delete");
                    yield Optional.empty();
                }
            };
        } catch (IllegalArgumentException e) {
            report(path, e.getMessage());
            return Optional.empty();
        }
    }

    private void reportUnknownKeys(JsonNode node, String path, Set<String> allowed) {
        Set<String> unknownKeys = new HashSet<>();
        node.fieldNames().forEachRemaining(unknownKeys::add);
        unknownKeys.removeAll(allowed);
        unknownKeys.stream().sorted().forEach(key -> report(joinPath(path, key), "unknown key"));
    }

    private String readText(JsonNode node, String path, String key) {
        JsonNode field = node.path(key);
        if (!field.isTextual()) {
            report(joinPath(path, key), "expected a string");
            return "";
        }
        return field.textValue();
    }

    private long readNumber(JsonNode node, String path, String key) {
        JsonNode field = node.path(key);
        if (!field.isIntegralNumber() || !field.canConvertToLong()) {
            report(joinPath(path, key), "expected an integer");
            return 0;
        }
        return field.longValue();
    }

    private static String joinPath(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private void report(String key, String message) {
        findings.add(Finding.of(SOURCE, key, message));
    }
}
