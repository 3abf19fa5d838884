package org.cassiabank.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
 * The declarations of all files that an operator names.
 */
final class DeclarationFiles {
    private final Map<EntityKey, DeclarationFile> files;
    private final List<Declaration> declarations;

    private DeclarationFiles(Map<EntityKey, DeclarationFile> files, List<Declaration> declarations) {
        this.files = files;
        this.declarations = declarations;
    }

    /**
     * Reads the files.
     *
     * @param paths the paths, at least one
     * @return the declarations
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} and the findings of all files together
     */
    static DeclarationFiles read(List<Path> paths) {
        FindingCollector findings = FindingCollector.create();
        Map<EntityKey, DeclarationFile> files = new LinkedHashMap<>();
        List<Declaration> declarations = new ArrayList<>();
        for (Path path : paths) {
            try {
                DeclarationFile file = DeclarationParser.parseFile(path.toString(), Files.readString(path));
                for (Declaration declaration : file.declarations()) {
                    DeclarationFile first = files.putIfAbsent(declaration.key(), file);
                    if (first == null) {
                        declarations.add(declaration);
                    } else {
                        findings.add(locate(
                                file, declaration.key().toString(), "defined twice; first in " + first.source()));
                    }
                }
            } catch (IOException e) {
                findings.add(Finding.of(path.toString(), "", "cannot be read as UTF-8 text: " + e));
            } catch (CassiabankException e) {
                e.findings().forEach(findings::add);
            }
        }
        findings.throwIfAny();
        return new DeclarationFiles(files, declarations);
    }

    /** Returns the declarations of all files in file order. */
    List<Declaration> declarations() {
        return declarations;
    }

    /**
     * Adds file and line to findings about a whole configuration.
     *
     * @param findings the findings, whose keys start with kind and name
     * @return the findings; those about entities that no file declares keep their source
     */
    List<Finding> locate(List<Finding> findings) {
        Objects.requireNonNull(findings, "findings");
        return findings.stream().map(this::locate).toList();
    }

    private Finding locate(Finding finding) {
        return files.entrySet().stream()
                .filter(entry -> finding.key().startsWith(entry.getKey() + "."))
                .findFirst()
                .map(entry -> locate(entry.getValue(), finding.key(), finding.message()))
                .orElse(finding);
    }

    private static Finding locate(DeclarationFile file, String key, String message) {
        return new Finding(file.source(), file.lineOf(key), key, message);
    }
}
