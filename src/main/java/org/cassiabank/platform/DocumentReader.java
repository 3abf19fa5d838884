package org.cassiabank.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * Reads fields of a JSON document and collects a finding for each that is missing or of another type.
 */
final class DocumentReader {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final String documentName;
    private final FindingCollector findings;

    private DocumentReader(String documentName) {
        this.documentName = documentName;
        this.findings = FindingCollector.create();
    }

    static DocumentReader of(String documentName) {
        return new DocumentReader(documentName);
    }

    /**
     * Parses a document that must be a JSON object.
     *
     * @param document the document in UTF-8
     * @return the root object
     * @throws CassiabankException with the finding if the document is not a JSON object
     */
    JsonNode parse(byte[] document) {
        try {
            JsonNode root = MAPPER.readTree(document);
            if (root != null && root.isObject()) {
                return root;
            }
            addFinding("", "expected a JSON object");
        } catch (IOException exception) {
            addFinding("", "not valid JSON" + location(exception));
        }
        throw CassiabankException.ofFindings(findings.toList());
    }

    /** Omits the parser's message, which can quote the document and thereby the keys of customers. */
    private static String location(IOException exception) {
        return exception instanceof JsonProcessingException parsing && parsing.getLocation() != null
                ? " at line " + parsing.getLocation().getLineNr() + ", column "
                        + parsing.getLocation().getColumnNr()
                : "";
    }

    /** Reads a text that must not be empty; returns an empty text after a finding. */
    String requiredText(JsonNode node, String pathPrefix, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            addFinding(pathPrefix + field, "expected a string");
            return "";
        }
        return value.textValue();
    }

    /** Reads an integer of at least 1; a missing one has the default value, or is a finding if that is 0. */
    int positiveInteger(JsonNode node, String pathPrefix, String field, int defaultValue) {
        JsonNode value = node.path(field);
        if (value.isMissingNode() && defaultValue > 0) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
            addFinding(pathPrefix + field, "expected a positive whole number");
            return 1;
        }
        return value.intValue();
    }

    /** Reads a size in bytes, 0 if the field is missing. */
    long optionalBytes(JsonNode node, String pathPrefix, String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            addFinding(pathPrefix + field, "expected a whole number of bytes");
            return 0;
        }
        return value.longValue();
    }

    /** Reads a number of at least 0 that may have a fraction, 0 if the field is missing. */
    double optionalNumber(JsonNode node, String pathPrefix, String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || value.doubleValue() < 0) {
            addFinding(pathPrefix + field, "expected a number that is not negative");
            return 0;
        }
        return value.doubleValue();
    }

    /** Reads a list of strings, empty if the field is missing. */
    List<String> optionalTexts(JsonNode node, String pathPrefix, String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        value.forEach(element -> texts.add(element.textValue()));
        if (!value.isArray() || texts.contains(null)) {
            addFinding(pathPrefix + field, "expected a list of strings");
            return List.of();
        }
        return texts;
    }

    /** Reads a duration with its unit as milliseconds; returns 0 after a finding. */
    long requiredMillis(JsonNode node, String pathPrefix, String field) {
        try {
            return PlatformDurations.parseMillis(requiredText(node, pathPrefix, field));
        } catch (IllegalArgumentException exception) {
            addFinding(pathPrefix + field, exception.getMessage());
            return 0;
        }
    }

    void addFinding(String field, String problem) {
        findings.add(Finding.of(documentName, field, problem));
    }

    void throwIfAny() {
        findings.throwIfAny();
    }
}
