package org.cassiabank.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Reads the fields of one table and reports all problems in them. A method that reports a problem returns a value that
 * serves only as a placeholder; {@link #finish} tells whether all fields are valid.
 */
final class FieldReader {
    private final JsonNode table;
    private final String path;
    private final BiConsumer<String, String> problemReporter;
    private final Set<String> requestedKeys = new HashSet<>();
    private boolean problemReported;

    private FieldReader(JsonNode table, String path, BiConsumer<String, String> problemReporter) {
        this.table = table;
        this.path = path;
        this.problemReporter = problemReporter;
    }

    /**
     * Creates a reader of a table.
     *
     * @param table the table
     * @param path the dotted key of the table, which precedes the keys of reported fields; may be empty
     * @param problemReporter receives the dotted key of an invalid field and the message
     * @return the reader
     */
    static FieldReader of(JsonNode table, String path, BiConsumer<String, String> problemReporter) {
        return new FieldReader(table, path, problemReporter);
    }

    /** Reads a string; it is required if there is no default. The check returns a message about an invalid value. */
    String readText(String key, Optional<String> defaultValue, Function<String, Optional<String>> check) {
        Optional<JsonNode> field = findField(key, defaultValue.isEmpty());
        if (field.isEmpty()) {
            return defaultValue.orElse("");
        }
        if (!field.get().isTextual()) {
            reportWrongType(key, "a string", field.get());
            return "";
        }
        report(key, check.apply(field.get().textValue()));
        return field.get().textValue();
    }

    /** Reads an integer under the key of its range; it is required if there is no default. */
    long readNumber(DeclarationRules.Range range, Optional<Integer> defaultValue) {
        Optional<JsonNode> field = findField(range.key(), defaultValue.isEmpty());
        if (field.isEmpty()) {
            return defaultValue.orElse(0);
        }
        if (!field.get().isIntegralNumber()) {
            reportWrongType(range.key(), "an integer", field.get());
            return 0;
        }
        if (!field.get().canConvertToLong()) {
            report(range.key(), range.problem(Long.MAX_VALUE).map(problem -> range.key() + " is out of range"));
            return 0;
        }
        report(range.key(), range.problem(field.get().longValue()));
        return field.get().longValue();
    }

    /** Reads an optional number that may have a fraction; the check returns a message about an invalid value. */
    double readDecimal(String key, double defaultValue, Function<Double, Optional<String>> check) {
        Optional<JsonNode> field = findField(key, false);
        if (field.isEmpty()) {
            return defaultValue;
        }
        if (!field.get().isNumber()) {
            reportWrongType(key, "a number", field.get());
            return defaultValue;
        }
        report(key, check.apply(field.get().doubleValue()));
        return field.get().doubleValue();
    }

    /** Reads an optional boolean. */
    boolean readFlag(String key, boolean defaultValue) {
        Optional<JsonNode> field = findField(key, false);
        if (field.isPresent() && !field.get().isBoolean()) {
            reportWrongType(key, "true or false", field.get());
        }
        return field.map(JsonNode::booleanValue).orElse(defaultValue);
    }

    /** Reads an optional array of distinct strings; the check is applied to each of them. */
    Set<String> readTexts(String key, Function<String, Optional<String>> check) {
        return readTexts(key, check, value -> "\"" + value + "\"");
    }

    /** Reads an optional array of distinct strings that must not appear in messages. */
    Set<String> readSecretTexts(String key, Function<String, Optional<String>> check) {
        return readTexts(key, check, value -> "a value");
    }

    private Set<String> readTexts(
            String key, Function<String, Optional<String>> check, Function<String, String> description) {
        Set<String> values = new HashSet<>();
        Optional<JsonNode> field = findField(key, false);
        if (field.isPresent() && !field.get().isArray()) {
            reportWrongType(key, "an array of strings", field.get());
        } else if (field.isPresent()) {
            for (JsonNode element : field.get()) {
                if (!element.isTextual()) {
                    reportWrongType(key, "an array of strings, with each element", element);
                } else if (!values.add(element.textValue())) {
                    report(key, Optional.of(description.apply(element.textValue()) + " is listed twice"));
                } else {
                    report(key, check.apply(element.textValue()));
                }
            }
        }
        return values;
    }

    /** Reads a table of strings; the check is applied to the whole table if all its values are strings. */
    Map<String, String> readLabels(
            String key, boolean required, Function<Map<String, String>, Optional<String>> check) {
        Map<String, String> values = new LinkedHashMap<>();
        Optional<JsonNode> field = findField(key, required);
        if (field.isEmpty()) {
            return values;
        }
        if (!field.get().isObject()) {
            reportWrongType(key, "a table of strings", field.get());
            return values;
        }
        boolean allValuesAreTexts = true;
        for (Map.Entry<String, JsonNode> label : field.get().properties()) {
            if (label.getValue().isTextual()) {
                values.put(label.getKey(), label.getValue().textValue());
            } else {
                reportWrongType(key + "." + label.getKey(), "a string", label.getValue());
                allValuesAreTexts = false;
            }
        }
        if (allValuesAreTexts) {
            report(key, check.apply(values));
        }
        return values;
    }

    boolean hasProblems() {
        return problemReported;
    }

    /** Reports the fields that no method has read as unknown, and returns whether no problem was reported at all. */
    boolean finish() {
        List<String> unknownKeys = new ArrayList<>();
        table.fieldNames().forEachRemaining(name -> {
            if (!requestedKeys.contains(name)) {
                unknownKeys.add(name);
            }
        });
        unknownKeys.forEach(name -> report(name, Optional.of("unknown key")));
        return !problemReported;
    }

    private Optional<JsonNode> findField(String key, boolean required) {
        requestedKeys.add(key);
        JsonNode field = table.get(key);
        if (field == null && required) {
            problemReported = true;
            problemReporter.accept(path, "missing key " + key);
        }
        return Optional.ofNullable(field);
    }

    private void reportWrongType(String key, String expected, JsonNode actual) {
        report(key, Optional.of("expected " + expected + ", but found " + describe(actual)));
    }

    private void report(String key, Optional<String> problem) {
        if (problem.isPresent()) {
            problemReported = true;
            problemReporter.accept(path.isEmpty() ? key : path + "." + key, problem.get());
        }
    }

    /** Returns the type of a node for messages, with an article. */
    static String describe(JsonNode node) {
        return switch (node.getNodeType()) {
            case STRING -> "a string";
            case NUMBER -> node.isIntegralNumber() ? "an integer" : "a decimal number";
            case BOOLEAN -> "a boolean";
            case ARRAY -> "an array";
            case OBJECT -> "a table";
            case POJO -> "a date or time";
            case NULL -> "null";
            case BINARY, MISSING -> "no value";
        };
    }
}
