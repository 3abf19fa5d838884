package org.cassiabank.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.StringJoiner;
import java.util.regex.Pattern;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.DeclarationCodec;
import org.cassiabank.declaration.EntityKey;

/**
 * Writes declarations as TOML that {@code cassiabankctl apply} accepts.
 */
final class DeclarationWriter {
    private static final Pattern BARE_KEY = Pattern.compile("[A-Za-z0-9_-]+");

    private DeclarationWriter() {}

    /**
     * Writes the declaration of one entity.
     *
     * @param declaration the declaration
     * @return a table header and one line for each field, each line with a line feed
     */
    static String write(Declaration declaration) {
        EntityKey key = declaration.key();
        StringBuilder toml = new StringBuilder();
        toml.append('[')
                .append(key.kind().keyword())
                .append('.')
                .append(formatKey(key.name()))
                .append("]\n");
        for (Map.Entry<String, JsonNode> field :
                DeclarationCodec.write(declaration).properties()) {
            toml.append(field.getKey())
                    .append(" = ")
                    .append(formatValue(field.getValue()))
                    .append('\n');
        }
        return toml.toString();
    }

    private static String formatKey(String name) {
        return BARE_KEY.matcher(name).matches() ? name : '"' + name + '"';
    }

    private static String formatValue(JsonNode value) {
        if (value.isObject()) {
            StringJoiner inlineTable = new StringJoiner(", ", "{ ", " }").setEmptyValue("{}");
            value.properties()
                    .forEach(field ->
                            inlineTable.add(formatKey(field.getKey()) + " = " + formatValue(field.getValue())));
            return inlineTable.toString();
        }
        if (value.isArray()) {
            StringJoiner array = new StringJoiner(", ", "[", "]");
            value.forEach(element -> array.add(formatValue(element)));
            return array.toString();
        }
        // JSON strings, integers and booleans are valid TOML, because declarations contain no control characters.
        return value.toString();
    }
}
