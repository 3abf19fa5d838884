package org.cassiabank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * Reads fields of a JSON document and collects a finding for each that is missing or of another type.
 */
final class DocumentReader {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final String source;
    private final FindingCollector findings;

    private DocumentReader(String source) {
        this.source = source;
        this.findings = FindingCollector.create();
    }

    static DocumentReader of(String source) {
        return new DocumentReader(source);
    }

    JsonNode parse(byte[] document) {
        try {
            JsonNode root = MAPPER.readTree(document);
            if (root != null && root.isObject()) {
                return root;
            }
            report("", "expected a JSON object");
        } catch (IOException exception) {
            report("", "not valid JSON: " + exception.getMessage());
        }
        throw CassiabankException.ofFindings(findings.toList());
    }

    String text(JsonNode node, String path, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            report(path + field, "expected a string");
            return "";
        }
        return value.textValue();
    }

    int positive(JsonNode node, String path, String field, int missing) {
        JsonNode value = node.path(field);
        if (value.isMissingNode() && missing > 0) {
            return missing;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
            report(path + field, "expected a positive whole number");
            return 1;
        }
        return value.intValue();
    }

    /** Reads a size, 0 if it is not stated. */
    long bytes(JsonNode node, String path, String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            report(path + field, "expected a whole number of bytes");
            return 0;
        }
        return value.longValue();
    }

    long millis(JsonNode node, String path, String field) {
        try {
            return PlatformTimes.toMillis(text(node, path, field));
        } catch (IllegalArgumentException exception) {
            report(path + field, exception.getMessage());
            return 0;
        }
    }

    void report(String field, String problem) {
        findings.add(Finding.of(source, field, problem));
    }

    void throwIfAny() {
        findings.throwIfAny();
    }
}
