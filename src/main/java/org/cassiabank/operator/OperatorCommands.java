package org.cassiabank.operator;

import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.ConfigurationDifference;
import org.cassiabank.declaration.ConfigurationReview;
import org.cassiabank.declaration.ConfigurationValidator;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.EntityDifference;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.declaration.EntityKind;
import org.cassiabank.declaration.VersionedDeclaration;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.ChangeCommitter;
import org.cassiabank.revision.ChangeStore;
import org.cassiabank.revision.DeleteEdit;
import org.cassiabank.revision.Edit;
import org.cassiabank.revision.PutEdit;

/**
 * Executes the commands of {@code cassiabankctl}.
 */
final class OperatorCommands {
    private static final String CURRENT_CONFIGURATION_SOURCE = "configuration in force";

    private final OperatorArguments arguments;
    private final Function<URI, ChangeStore> storeFactory;
    private final PrintStream output;

    private OperatorCommands(OperatorArguments arguments, Function<URI, ChangeStore> storeFactory, PrintStream output) {
        this.arguments = arguments;
        this.storeFactory = storeFactory;
        this.output = output;
    }

    /**
     * Creates the commands. The store is not contacted before {@link #execute()}.
     *
     * @param arguments the command line
     * @param storeFactory creates the client of the store at a URL
     * @param output receives the results
     * @return the commands
     */
    static OperatorCommands create(
            OperatorArguments arguments, Function<URI, ChangeStore> storeFactory, PrintStream output) {
        return new OperatorCommands(
                Objects.requireNonNull(arguments, "arguments"),
                Objects.requireNonNull(storeFactory, "storeFactory"),
                Objects.requireNonNull(output, "output"));
    }

    /**
     * Executes the command of the command line.
     *
     * @return false if the command completed with a negative result: warnings of {@code check --strict}
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} for a usage error or invalid declarations, with
     *     the code that the {@link ChangeCommitter} reports, or with {@link ErrorCode#PEER_UNAVAILABLE} if a
     *     proxy does not report
     */
    boolean execute() {
        switch (arguments.command()) {
            case "check" -> {
                return check();
            }
            case "apply" -> apply();
            case "delete" -> delete();
            case "show" -> show();
            case "status" -> status();
            case "" -> throw usageError("no command; see --help");
            default -> throw usageError("unknown command " + arguments.command() + "; see --help");
        }
        return true;
    }

    /** Prints warnings and differences; returns false if warnings count as a failure and there are any. */
    private boolean check() {
        DeclarationFiles files = readFiles();
        Optional<DeclarationFiles> comparedFiles = arguments.againstFiles().isEmpty()
                ? Optional.empty()
                : Optional.of(DeclarationFiles.read(
                        arguments.againstFiles().stream().map(Path::of).toList()));
        Configuration current =
                arguments.storeUrl().isPresent() ? createCommitter().refresh() : Configuration.empty();
        Configuration resultingConfiguration =
                current.withChanges(current.revision() + 1, files.declarations(), List.of());
        List<Finding> findings = ConfigurationValidator.validate(CURRENT_CONFIGURATION_SOURCE, resultingConfiguration);
        if (!findings.isEmpty()) {
            throw CassiabankException.ofFindings(files.locate(findings));
        }
        output.println(files.declarations().size() + " declarations are valid"
                + (arguments.storeUrl().isPresent() ? " together with revision " + current.revision() : ""));
        List<Finding> warnings =
                files.locate(ConfigurationReview.review(CURRENT_CONFIGURATION_SOURCE, resultingConfiguration));
        warnings.forEach(warning -> output.println("warning: " + warning));
        Configuration declared = configurationOf(files);
        comparedFiles.ifPresent(compared ->
                printDifferences(String.join(", ", arguments.againstFiles()), "", configurationOf(compared), declared));
        if (arguments.storeUrl().isPresent()) {
            printDifferences("revision " + current.revision(), " (kept by apply)", current, declared);
        }
        return warnings.isEmpty() || !arguments.isStrict();
    }

    private static Configuration configurationOf(DeclarationFiles files) {
        return Configuration.empty().withChanges(1, files.declarations(), List.of());
    }

    private void printDifferences(String version, String removalNote, Configuration earlier, Configuration later) {
        List<EntityDifference> differences = ConfigurationDifference.between(earlier, later);
        int added = 0;
        int removed = 0;
        int changed = 0;
        for (EntityDifference difference : differences) {
            switch (difference) {
                case EntityDifference.Added ignored -> added++;
                case EntityDifference.Removed ignored -> removed++;
                case EntityDifference.Changed ignored -> changed++;
            }
        }
        output.println("compared with " + version + ": " + added + " added, " + removed + " removed"
                + (removed > 0 ? removalNote : "") + ", " + changed + " changed");
        differences.forEach(output::println);
    }

    private void apply() {
        DeclarationFiles files = readFiles();
        ChangeCommitter committer = createCommitter();
        Set<Declaration> declared = Set.copyOf(files.declarations());
        if (reportIfCommitted(committer, edit -> edit instanceof PutEdit put && declared.contains(put.declaration()))) {
            return;
        }
        Configuration current = committer.refresh();
        List<Edit> edits = new ArrayList<>();
        for (Declaration declaration : files.declarations()) {
            Optional<VersionedDeclaration> currentEntity = current.find(declaration.key());
            if (!currentEntity.map(VersionedDeclaration::declaration).equals(Optional.of(declaration))) {
                edits.add(new PutEdit(declaration, readRevision(currentEntity)));
            }
        }
        if (edits.isEmpty()) {
            output.println("nothing to change at revision " + current.revision());
            return;
        }
        try {
            commit(committer, edits);
        } catch (CassiabankException exception) {
            if (exception.findings().isEmpty()) {
                throw exception;
            }
            throw CassiabankException.ofFindings(files.locate(exception.findings()));
        }
    }

    private void delete() {
        List<String> operands = arguments.operands();
        if (operands.size() != 2) {
            throw usageError("delete needs KIND and NAME");
        }
        EntityKey key = new EntityKey(parseKind(operands.get(0)), operands.get(1));
        ChangeCommitter committer = createCommitter();
        if (reportIfCommitted(
                committer, edit -> edit instanceof DeleteEdit && edit.key().equals(key))) {
            return;
        }
        Optional<VersionedDeclaration> currentEntity = committer.refresh().find(key);
        if (currentEntity.isEmpty()) {
            throw usageError(key + " does not exist");
        }
        commit(committer, List.of(new DeleteEdit(key, readRevision(currentEntity))));
    }

    private void show() {
        List<String> operands = arguments.operands();
        if (operands.size() > 2) {
            throw usageError("show takes at most KIND and NAME");
        }
        Optional<EntityKind> kind = operands.stream().findFirst().map(OperatorCommands::parseKind);
        Configuration current = createCommitter().refresh();
        List<VersionedDeclaration> entities = current.entities().values().stream()
                .filter(entity -> kind.isEmpty() || entity.declaration().key().kind() == kind.get())
                .filter(entity ->
                        operands.size() < 2 || entity.declaration().key().name().equals(operands.get(1)))
                .sorted(Comparator.comparing(entity -> entity.declaration().key()))
                .toList();
        if (operands.size() == 2 && entities.isEmpty()) {
            throw usageError(String.join(".", operands) + " does not exist");
        }
        output.println("# revision " + current.revision());
        for (VersionedDeclaration entity : entities) {
            output.println();
            output.println("# last changed at revision " + entity.revision());
            output.print(DeclarationWriter.write(entity.declaration()));
        }
    }

    private void status() {
        if (arguments.storeUrl().isEmpty() && arguments.proxyAddresses().isEmpty()) {
            throw usageError("status needs --store or --proxy");
        }
        Optional<CassiabankException> storeFailure = Optional.empty();
        long storeRevision = 0;
        if (arguments.storeUrl().isPresent()) {
            try {
                storeRevision = createCommitter().refresh().revision();
                output.println("store: revision " + storeRevision);
            } catch (CassiabankException exception) {
                output.println("store: " + exception.getMessage());
                storeFailure = Optional.of(exception);
            }
        }
        Map<String, ProxyStatus> statuses = ProxyStatusClient.create().readAll(arguments.proxyAddresses());
        long unknownProxies = 0;
        for (Map.Entry<String, ProxyStatus> entry : statuses.entrySet()) {
            switch (entry.getValue()) {
                case ProxyStatus.Reported reported -> {
                    String lag = storeRevision > reported.revision()
                            ? ", behind by " + (storeRevision - reported.revision())
                            : "";
                    output.println(
                            entry.getKey() + ": " + reported.name() + " has revision " + reported.revision() + lag);
                }
                case ProxyStatus.Unknown unknown -> {
                    output.println(entry.getKey() + ": unknown, " + unknown.reason());
                    unknownProxies++;
                }
            }
        }
        if (storeFailure.isPresent()) {
            throw storeFailure.get();
        }
        if (unknownProxies > 0) {
            throw CassiabankException.of(
                    ErrorCode.PEER_UNAVAILABLE, unknownProxies + " of " + statuses.size() + " proxies did not report");
        }
    }

    private DeclarationFiles readFiles() {
        if (arguments.operands().isEmpty()) {
            throw usageError(arguments.command() + " needs at least one FILE");
        }
        return DeclarationFiles.read(arguments.operands().stream().map(Path::of).toList());
    }

    private ChangeCommitter createCommitter() {
        URI storeUrl = arguments.storeUrl().orElseThrow(() -> usageError(arguments.command() + " needs --store URL"));
        return ChangeCommitter.create(storeFactory.apply(storeUrl));
    }

    /**
     * Prints the revision of the operation of {@code --operation} if it is already committed, so that a repeated
     * command does not apply its edits twice.
     *
     * @param committer the committer that finds the operation
     * @param isRequested tells whether an edit belongs to this command
     * @return true if the operation is already committed
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if it was committed with other edits
     */
    private boolean reportIfCommitted(ChangeCommitter committer, Predicate<Edit> isRequested) {
        Optional<Change> committedChange = arguments.operationId().flatMap(committer::findOperation);
        if (committedChange.isEmpty()) {
            return false;
        }
        Change change = committedChange.get();
        if (!change.edits().stream().allMatch(isRequested)) {
            throw usageError("operation id " + change.operationId() + " was used for other edits at revision "
                    + change.revision());
        }
        output.println("operation " + change.operationId() + " was already committed at revision " + change.revision());
        return true;
    }

    private void commit(ChangeCommitter committer, List<Edit> edits) {
        String operationId =
                arguments.operationId().orElseGet(() -> UUID.randomUUID().toString());
        Change change = committer.commit(operationId, edits);
        output.println("operation " + operationId + " is committed at revision " + change.revision() + " with "
                + edits.size() + (edits.size() == 1 ? " edit" : " edits"));
    }

    /** Returns the revision that an edit is based on; if the entity changed later, the committer reports a conflict. */
    private long readRevision(Optional<VersionedDeclaration> currentEntity) {
        long currentRevision = currentEntity.map(VersionedDeclaration::revision).orElse(0L);
        return arguments
                .baseRevision()
                .map(baseRevision -> Math.min(baseRevision, currentRevision))
                .orElse(currentRevision);
    }

    private static EntityKind parseKind(String keyword) {
        return EntityKind.fromKeyword(keyword)
                .orElseThrow(
                        () -> usageError("unknown kind " + keyword + "; expected " + EntityKind.describeKeywords()));
    }

    private static CassiabankException usageError(String message) {
        return CassiabankException.of(ErrorCode.INVALID_INPUT, message);
    }
}
