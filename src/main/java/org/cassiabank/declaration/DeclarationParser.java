package org.cassiabank.declaration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.dataformat.toml.TomlReadFeature;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Finding;

/**
 * Reads declarations from TOML and reports all findings of a file together.
 */
public final class DeclarationParser {
    // Dates are kept as objects, because as text they would pass for strings.
    private static final ObjectMapper TOML =
            TomlMapper.builder().enable(TomlReadFeature.PARSE_JAVA_TIME).build();

    private final String source;
    private final List<Finding> findings = new ArrayList<>();
    private final Map<String, Integer> lines = new HashMap<>();
    private final Set<String> brokenEntities = new HashSet<>();
    private final ObjectNode root = JsonNodeFactory.instance.objectNode();

    private DeclarationParser(String source) {
        this.source = source;
    }

    /**
     * Reads the declarations of a file.
     *
     * @param source the name of the file, for reports
     * @param toml the content
     * @return the declarations
     * @throws CassiabankException with all findings if there are any
     */
    public static List<Declaration> parse(String source, String toml) {
        return parseFile(source, toml).declarations();
    }

    /**
     * Reads the declarations of a file with the lines of their keys.
     *
     * @param source the name of the file, for reports
     * @param toml the content
     * @return the declarations and lines
     * @throws CassiabankException with all findings if there are any
     */
    public static DeclarationFile parseFile(String source, String toml) {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(toml, "toml");
        return new DeclarationParser(source).readDocument(toml);
    }

    private DeclarationFile readDocument(String toml) {
        Set<String> headers = new HashSet<>();
        for (TomlSection section : TomlSection.divide(toml)) {
            String header = section.header();
            if (!header.isEmpty() && !headers.add(header)) {
                report(section.firstLine(), header, "defined twice; first in line " + lines.get(header));
                continue;
            }
            lines.putIfAbsent(header, section.firstLine());
            readSection(section);
            recordTablesAround(header, section.firstLine());
        }
        lines.remove("");
        List<Declaration> declarations = readEntities();
        if (!findings.isEmpty()) {
            findings.sort(Comparator.comparingInt(finding -> finding.line().orElse(0)));
            throw CassiabankException.ofFindings(findings);
        }
        return new DeclarationFile(source, declarations, lines);
    }

    /** Records the line of tables that have no header of their own. */
    private void recordTablesAround(String header, int line) {
        for (int dot = header.lastIndexOf('.'); dot > 0; dot = header.lastIndexOf('.', dot - 1)) {
            lines.putIfAbsent(header.substring(0, dot), line);
        }
    }

    private void readSection(TomlSection section) {
        boolean duplicates = false;
        for (Map.Entry<String, List<Integer>> key : section.keyLines().entrySet()) {
            List<Integer> found = key.getValue();
            Integer first = lines.putIfAbsent(key.getKey(), found.getFirst());
            if (first != null) {
                found.forEach(line -> report(line, key.getKey(), "defined twice; first in line " + first));
            }
            for (int line : found.subList(1, found.size())) {
                report(line, key.getKey(), "defined twice; first in line " + found.getFirst());
                duplicates = true;
            }
        }
        try {
            merge(root, TOML.readTree(section.text()));
        } catch (JsonProcessingException e) {
            brokenEntities.add(entityOf(section.header()));
            if (!duplicates) {
                int line = e.getLocation() == null
                        ? 1
                        : Math.max(1, e.getLocation().getLineNr());
                report(section.firstLine() + line - 1, section.header(), "TOML syntax: " + e.getOriginalMessage());
            }
        }
    }

    /** Adds the keys of a section. Keys that are already present were reported as duplicates. */
    private static void merge(ObjectNode target, JsonNode added) {
        for (Map.Entry<String, JsonNode> field : added.properties()) {
            if (target.get(field.getKey()) instanceof ObjectNode present
                    && field.getValue().isObject()) {
                merge(present, field.getValue());
            } else if (!target.has(field.getKey())) {
                target.set(field.getKey(), field.getValue());
            }
        }
    }

    private List<Declaration> readEntities() {
        List<Declaration> declarations = new ArrayList<>();
        for (Map.Entry<String, JsonNode> kindTable : root.properties()) {
            String word = kindTable.getKey();
            Optional<EntityKind> kind = EntityKind.fromKeyword(word);
            if (kind.isEmpty()) {
                report(word, "unknown key; expected " + EntityKind.describeKeywords());
            } else if (!kindTable.getValue().isObject()) {
                report(word, "expected tables [" + word + ".NAME]");
            } else {
                for (Map.Entry<String, JsonNode> entity : kindTable.getValue().properties()) {
                    EntityKey key = new EntityKey(kind.get(), entity.getKey());
                    if (!brokenEntities.contains(key.toString())) {
                        DeclarationCodec.read(key, entity.getValue(), key.toString(), this::report)
                                .ifPresent(declarations::add);
                    }
                }
            }
        }
        return declarations;
    }

    private static String entityOf(String header) {
        int first = header.indexOf('.');
        int second = header.indexOf('.', first + 1);
        return second < 0 ? header : header.substring(0, second);
    }

    private void report(String key, String message) {
        findings.add(new Finding(source, DeclarationFile.lineOf(lines, key), key, message));
    }

    private void report(int line, String key, String message) {
        findings.add(Finding.at(source, line, key, message));
    }
}
