package org.cassiabank.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * Reads typed values from a TOML table and collects a finding with its line number for each value that is not valid.
 */
final class SettingsReader {
    private final String source;
    private final String[] lines;
    private final JsonNode table;
    private final FindingCollector findings;
    private final Set<String> knownKeys = new HashSet<>();

    private SettingsReader(String source, String text, JsonNode table, FindingCollector findings) {
        this.source = source;
        this.lines = text.split("\n", -1);
        this.table = table;
        this.findings = findings;
    }

    static SettingsReader of(String source, String text, JsonNode table, FindingCollector findings) {
        return new SettingsReader(source, text, table, findings);
    }

    /**
     * Reads a mandatory value.
     *
     * @param <T> the type of the value
     * @param key the key
     * @param converter converts the text; throws IllegalArgumentException with the finding's text if it is not valid
     * @return the value, or null after a finding was added because it is missing or not valid
     */
    <T> T required(String key, Function<String, T> converter) {
        if (!table.hasNonNull(key)) {
            knownKeys.add(key);
            findings.add(Finding.of(source, key, "is missing"));
            return null;
        }
        return optional(key, converter).orElse(null);
    }

    <T> Optional<T> optional(String key, Function<String, T> converter) {
        knownKeys.add(key);
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        if (value.isContainerNode()) {
            report(key, "expected a single value");
            return Optional.empty();
        }
        try {
            return Optional.of(converter.apply(value.asText()));
        } catch (IllegalArgumentException exception) {
            report(key, exception.getMessage());
            return Optional.empty();
        }
    }

    int positiveOrDefault(String key, int defaultValue) {
        return optional(key, text -> parsePositive(text)).orElse(defaultValue);
    }

    void reportUnknownKeys() {
        Iterator<String> names = table.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!knownKeys.contains(name)) {
                report(name, "is not a known setting");
            }
        }
    }

    private void report(String key, String message) {
        findings.add(Finding.at(source, lineOf(key), key, message));
    }

    private int lineOf(String key) {
        for (int index = 0; index < lines.length; index++) {
            String line = lines[index].strip();
            if (line.startsWith(key) && line.substring(key.length()).strip().startsWith("=")) {
                return index + 1;
            }
        }
        return 1;
    }

    static int parsePositive(String text) {
        try {
            int value = Integer.parseInt(text);
            if (value > 0) {
                return value;
            }
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException("expected a positive whole number, not '" + text + "'", exception);
        }
        throw new IllegalArgumentException("expected a positive whole number, not '" + text + "'");
    }
}
