package org.cassiabank.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.StringJoiner;
import java.util.regex.Pattern;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.DeclarationCodec;
import org.cassiabank.declaration.EntityKey;

/**
 * Writes declarations as TOML that can be applied again.
 */
final class DeclarationWriter {
    private static final Pattern BARE_KEY = Pattern.compile("[A-Za-z0-9_-]+");

    private DeclarationWriter() {}

    /**
     * Writes one entity.
     *
     * @param declaration the entity
     * @return a table header and one line per field
     */
    static String write(Declaration declaration) {
        EntityKey key = declaration.key();
        StringBuilder text = new StringBuilder();
        text.append('[')
                .append(key.kind().keyword())
                .append('.')
                .append(key(key.name()))
                .append("]\n");
        for (Map.Entry<String, JsonNode> field :
                DeclarationCodec.write(declaration).properties()) {
            text.append(field.getKey())
                    .append(" = ")
                    .append(value(field.getValue()))
                    .append('\n');
        }
        return text.toString();
    }

    private static String key(String name) {
        return BARE_KEY.matcher(name).matches() ? name : '"' + name + '"';
    }

    private static String value(JsonNode value) {
        if (value.isObject()) {
            StringJoiner table = new StringJoiner(", ", "{ ", " }").setEmptyValue("{}");
            value.properties().forEach(field -> table.add(key(field.getKey()) + " = " + value(field.getValue())));
            return table.toString();
        }
        if (value.isArray()) {
            StringJoiner array = new StringJoiner(", ", "[", "]");
            value.forEach(element -> array.add(value(element)));
            return array.toString();
        }
        // JSON strings, integers and booleans are valid TOML, because declarations hold no control characters.
        return value.toString();
    }
}
