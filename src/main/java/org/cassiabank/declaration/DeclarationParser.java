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
 * Parses declarations in TOML and reports all findings of a file together.
 */
public final class DeclarationParser {
    // Dates are parsed as objects, because as text they would be accepted as strings.
    private static final ObjectMapper TOML_MAPPER =
            TomlMapper.builder().enable(TomlReadFeature.PARSE_JAVA_TIME).build();

    private final String source;
    private final List<Finding> findings = new ArrayList<>();
    private final Map<String, Integer> linesByKey = new HashMap<>();
    /** The keys of entities with a syntax error, whose fields are not checked. */
    private final Set<String> unparsableEntities = new HashSet<>();

    private final ObjectNode root = JsonNodeFactory.instance.objectNode();

    private DeclarationParser(String source) {
        this.source = source;
    }

    /**
     * Parses the declarations of a file.
     *
     * @param source the name of the file, reported with each finding
     * @param toml the content of the file
     * @return the declarations, grouped by kind and otherwise in file order
     * @throws CassiabankException with all findings if there are any
     */
    public static List<Declaration> parse(String source, String toml) {
        return parseFile(source, toml).declarations();
    }

    /**
     * Parses the declarations of a file and records the lines of their keys.
     *
     * @param source the name of the file, reported with each finding
     * @param toml the content of the file
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
        for (TomlSection section : TomlSection.split(toml)) {
            String header = section.header();
            if (!header.isEmpty() && !headers.add(header)) {
                report(section.firstLine(), header, "defined twice; first in line " + linesByKey.get(header));
                continue;
            }
            linesByKey.putIfAbsent(header, section.firstLine());
            readSection(section);
            recordEnclosingTables(header, section.firstLine());
        }
        linesByKey.remove("");
        List<Declaration> declarations = readEntities();
        if (!findings.isEmpty()) {
            findings.sort(Comparator.comparingInt(finding -> finding.line().orElse(0)));
            throw CassiabankException.ofFindings(findings);
        }
        return new DeclarationFile(source, declarations, linesByKey);
    }

    /** Records a line for the enclosing tables that have no header of their own. */
    private void recordEnclosingTables(String header, int line) {
        for (int dot = header.lastIndexOf('.'); dot > 0; dot = header.lastIndexOf('.', dot - 1)) {
            linesByKey.putIfAbsent(header.substring(0, dot), line);
        }
    }

    private void readSection(TomlSection section) {
        boolean hasDuplicates = false;
        for (Map.Entry<String, List<Integer>> key : section.keyLines().entrySet()) {
            List<Integer> keyLines = key.getValue();
            Integer firstLine = linesByKey.putIfAbsent(key.getKey(), keyLines.getFirst());
            if (firstLine != null) {
                keyLines.forEach(line -> report(line, key.getKey(), "defined twice; first in line " + firstLine));
            }
            for (int line : keyLines.subList(1, keyLines.size())) {
                report(line, key.getKey(), "defined twice; first in line " + keyLines.getFirst());
                hasDuplicates = true;
            }
        }
        try {
            merge(root, TOML_MAPPER.readTree(section.text()));
        } catch (JsonProcessingException e) {
            unparsableEntities.add(entityKeyOf(section.header()));
            if (!hasDuplicates) {
                int lineInSection = e.getLocation() == null
                        ? 1
                        : Math.max(1, e.getLocation().getLineNr());
                report(
                        section.firstLine() + lineInSection - 1,
                        section.header(),
                        "TOML syntax: " + e.getOriginalMessage());
            }
        }
    }

    /** Adds the keys of a section. Keys that are already present are skipped; they were reported as duplicates. */
    private static void merge(ObjectNode target, JsonNode addition) {
        for (Map.Entry<String, JsonNode> field : addition.properties()) {
            if (target.get(field.getKey()) instanceof ObjectNode existing
                    && field.getValue().isObject()) {
                merge(existing, field.getValue());
            } else if (!target.has(field.getKey())) {
                target.set(field.getKey(), field.getValue());
            }
        }
    }

    private List<Declaration> readEntities() {
        List<Declaration> declarations = new ArrayList<>();
        for (Map.Entry<String, JsonNode> kindTable : root.properties()) {
            String keyword = kindTable.getKey();
            Optional<EntityKind> kind = EntityKind.fromKeyword(keyword);
            if (kind.isEmpty()) {
                report(keyword, "unknown key; expected " + EntityKind.describeKeywords());
            } else if (!kindTable.getValue().isObject()) {
                report(keyword, "expected tables [" + keyword + ".NAME]");
            } else {
                for (Map.Entry<String, JsonNode> entity : kindTable.getValue().properties()) {
                    EntityKey key = new EntityKey(kind.get(), entity.getKey());
                    if (!unparsableEntities.contains(key.toString())) {
                        DeclarationCodec.read(key, entity.getValue(), key.toString(), this::report)
                                .ifPresent(declarations::add);
                    }
                }
            }
        }
        return declarations;
    }

    private static String entityKeyOf(String header) {
        int firstDot = header.indexOf('.');
        int secondDot = header.indexOf('.', firstDot + 1);
        return secondDot < 0 ? header : header.substring(0, secondDot);
    }

    private void report(String key, String message) {
        findings.add(new Finding(source, DeclarationFile.lineOf(linesByKey, key), key, message));
    }

    private void report(int line, String key, String message) {
        findings.add(Finding.at(source, line, key, message));
    }
}
