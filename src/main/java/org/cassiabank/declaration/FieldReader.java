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

/** Reads the fields of one table and reports all that is wrong with them. */
final class FieldReader {
    private final JsonNode table;
    private final String path;
    private final BiConsumer<String, String> problems;
    private final Set<String> known = new HashSet<>();
    private boolean failed;

    private FieldReader(JsonNode table, String path, BiConsumer<String, String> problems) {
        this.table = table;
        this.path = path;
        this.problems = problems;
    }

    /**
     * Creates a reader.
     *
     * @param table the table
     * @param path the key of the table, for reports
     * @param problems receives the key of a wrong field and the message
     * @return the reader
     */
    static FieldReader of(JsonNode table, String path, BiConsumer<String, String> problems) {
        return new FieldReader(table, path, problems);
    }

    String text(String key, Optional<String> fallback, Function<String, Optional<String>> check) {
        Optional<JsonNode> field = field(key, fallback.isEmpty());
        if (field.isEmpty()) {
            return fallback.orElse("");
        }
        if (!field.get().isTextual()) {
            wrongType(key, "a string", field.get());
            return "";
        }
        report(key, check.apply(field.get().textValue()));
        return field.get().textValue();
    }

    long number(DeclarationRules.Range range, Optional<Integer> fallback) {
        Optional<JsonNode> field = field(range.key(), fallback.isEmpty());
        if (field.isEmpty()) {
            return fallback.orElse(0);
        }
        if (!field.get().isIntegralNumber()) {
            wrongType(range.key(), "an integer", field.get());
            return 0;
        }
        if (!field.get().canConvertToLong()) {
            report(range.key(), range.problem(Long.MAX_VALUE).map(problem -> range.key() + " is out of range"));
            return 0;
        }
        report(range.key(), range.problem(field.get().longValue()));
        return field.get().longValue();
    }

    boolean flag(String key, boolean fallback) {
        Optional<JsonNode> field = field(key, false);
        if (field.isPresent() && !field.get().isBoolean()) {
            wrongType(key, "true or false", field.get());
        }
        return field.map(JsonNode::booleanValue).orElse(fallback);
    }

    Set<String> texts(String key, Function<String, Optional<String>> check) {
        Set<String> values = new HashSet<>();
        Optional<JsonNode> field = field(key, false);
        if (field.isPresent() && !field.get().isArray()) {
            wrongType(key, "an array of strings", field.get());
        } else if (field.isPresent()) {
            for (JsonNode element : field.get()) {
                if (!element.isTextual()) {
                    wrongType(key, "an array of strings, with each element", element);
                } else if (!values.add(element.textValue())) {
                    report(key, Optional.of("\"" + element.textValue() + "\" is listed twice"));
                } else {
                    report(key, check.apply(element.textValue()));
                }
            }
        }
        return values;
    }

    Map<String, String> labels(String key, boolean required, Function<Map<String, String>, Optional<String>> check) {
        Map<String, String> values = new LinkedHashMap<>();
        Optional<JsonNode> field = field(key, required);
        if (field.isEmpty()) {
            return values;
        }
        if (!field.get().isObject()) {
            wrongType(key, "a table of strings", field.get());
            return values;
        }
        boolean complete = true;
        for (Map.Entry<String, JsonNode> label : field.get().properties()) {
            if (label.getValue().isTextual()) {
                values.put(label.getKey(), label.getValue().textValue());
            } else {
                wrongType(key + "." + label.getKey(), "a string", label.getValue());
                complete = false;
            }
        }
        if (complete) {
            report(key, check.apply(values));
        }
        return values;
    }

    boolean hasFailed() {
        return failed;
    }

    /** Reports the fields that no method asked for, then tells whether everything was right. */
    boolean finish() {
        List<String> unknown = new ArrayList<>();
        table.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                unknown.add(name);
            }
        });
        unknown.forEach(name -> report(name, Optional.of("unknown key")));
        return !failed;
    }

    private Optional<JsonNode> field(String key, boolean required) {
        known.add(key);
        JsonNode field = table.get(key);
        if (field == null && required) {
            failed = true;
            problems.accept(path, "missing key " + key);
        }
        return Optional.ofNullable(field);
    }

    private void wrongType(String key, String expected, JsonNode actual) {
        report(key, Optional.of("expected " + expected + ", but found " + describe(actual)));
    }

    private void report(String key, Optional<String> problem) {
        if (problem.isPresent()) {
            failed = true;
            problems.accept(path.isEmpty() ? key : path + "." + key, problem.get());
        }
    }

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
