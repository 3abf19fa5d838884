package org.cassiabank.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.DeclarationFile;
import org.cassiabank.declaration.DeclarationParser;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * The declarations of all files that an operator names on the command line, with the place of each.
 */
final class DeclarationFiles {
    private final Map<EntityKey, DeclarationFile> filesByKey;
    private final List<Declaration> declarations;

    private DeclarationFiles(Map<EntityKey, DeclarationFile> filesByKey, List<Declaration> declarations) {
        this.filesByKey = filesByKey;
        this.declarations = declarations;
    }

    /**
     * Reads and parses the files.
     *
     * @param paths the paths, at least one
     * @return the declarations
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} and the findings of all files together, if a
     *     file cannot be read or parsed or an entity is defined twice
     */
    static DeclarationFiles read(List<Path> paths) {
        FindingCollector findings = FindingCollector.create();
        Map<EntityKey, DeclarationFile> filesByKey = new LinkedHashMap<>();
        List<Declaration> declarations = new ArrayList<>();
        for (Path path : paths) {
            try {
                DeclarationFile file = DeclarationParser.parseFile(path.toString(), Files.readString(path));
                for (Declaration declaration : file.declarations()) {
                    DeclarationFile firstFile = filesByKey.putIfAbsent(declaration.key(), file);
                    if (firstFile == null) {
                        declarations.add(declaration);
                    } else {
                        findings.add(locate(
                                file, declaration.key().toString(), "defined twice; first in " + firstFile.source()));
                    }
                }
            } catch (IOException exception) {
                findings.add(Finding.of(path.toString(), "", "cannot be read as UTF-8 text: " + exception));
            } catch (CassiabankException exception) {
                exception.findings().forEach(findings::add);
            }
        }
        findings.throwIfAny();
        return new DeclarationFiles(filesByKey, declarations);
    }

    /** Returns the declarations in the order of the files, and within a file in its order. */
    List<Declaration> declarations() {
        return declarations;
    }

    /**
     * Adds file and line to findings from the validation of a complete configuration.
     *
     * @param findings the findings, whose keys start with the kind and name of an entity
     * @return the findings in the same order; those about entities that no file declares are unchanged
     */
    List<Finding> locate(List<Finding> findings) {
        Objects.requireNonNull(findings, "findings");
        return findings.stream().map(this::locate).toList();
    }

    private Finding locate(Finding finding) {
        return filesByKey.entrySet().stream()
                .filter(entry -> (finding.key() + ".").startsWith(entry.getKey() + "."))
                // Names may contain dots, so the key of service.menu is also a prefix of that of service.menu.v1.
                .max(Comparator.comparingInt(entry -> entry.getKey().name().length()))
                .map(entry -> locate(entry.getValue(), finding.key(), finding.message()))
                .orElse(finding);
    }

    private static Finding locate(DeclarationFile file, String key, String message) {
        return new Finding(file.source(), file.lineOf(key), key, message);
    }
}
