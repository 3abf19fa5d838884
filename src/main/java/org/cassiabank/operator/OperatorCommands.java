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
import org.cassiabank.declaration.ConfigurationValidator;
import org.cassiabank.declaration.Declaration;
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
    private static final String SOURCE_IN_FORCE = "configuration in force";

    private final OperatorArguments arguments;
    private final Function<URI, ChangeStore> stores;
    private final PrintStream out;

    private OperatorCommands(OperatorArguments arguments, Function<URI, ChangeStore> stores, PrintStream out) {
        this.arguments = arguments;
        this.stores = stores;
        this.out = out;
    }

    /**
     * Creates the commands.
     *
     * @param arguments the command line
     * @param stores creates the client of the store at a URL
     * @param out receives the results
     * @return the commands
     */
    static OperatorCommands create(OperatorArguments arguments, Function<URI, ChangeStore> stores, PrintStream out) {
        return new OperatorCommands(
                Objects.requireNonNull(arguments, "arguments"),
                Objects.requireNonNull(stores, "stores"),
                Objects.requireNonNull(out, "out"));
    }

    /**
     * Executes the command of the command line.
     *
     * @throws CassiabankException if the command fails
     */
    void execute() {
        switch (arguments.command()) {
            case "check" -> check();
            case "apply" -> apply();
            case "delete" -> delete();
            case "show" -> show();
            case "status" -> status();
            case "" -> throw usage("no command; see --help");
            default -> throw usage("unknown command " + arguments.command() + "; see --help");
        }
    }

    private void check() {
        DeclarationFiles files = readFiles();
        Configuration current = arguments.store().isPresent() ? committer().refresh() : Configuration.empty();
        Configuration result = current.withChanges(current.revision() + 1, files.declarations(), List.of());
        List<Finding> findings = ConfigurationValidator.validate(SOURCE_IN_FORCE, result);
        if (!findings.isEmpty()) {
            throw CassiabankException.ofFindings(files.locate(findings));
        }
        out.println(files.declarations().size() + " declarations are valid"
                + (arguments.store().isPresent() ? " together with revision " + current.revision() : ""));
    }

    private void apply() {
        DeclarationFiles files = readFiles();
        ChangeCommitter committer = committer();
        Set<Declaration> wanted = Set.copyOf(files.declarations());
        if (reportEarlier(committer, edit -> edit instanceof PutEdit put && wanted.contains(put.declaration()))) {
            return;
        }
        Configuration current = committer.refresh();
        List<Edit> edits = new ArrayList<>();
        for (Declaration declaration : files.declarations()) {
            Optional<VersionedDeclaration> present = current.find(declaration.key());
            if (!present.map(VersionedDeclaration::declaration).equals(Optional.of(declaration))) {
                edits.add(new PutEdit(declaration, readRevision(present)));
            }
        }
        if (edits.isEmpty()) {
            out.println("nothing to change at revision " + current.revision());
            return;
        }
        try {
            commit(committer, edits);
        } catch (CassiabankException e) {
            if (e.findings().isEmpty()) {
                throw e;
            }
            throw CassiabankException.ofFindings(files.locate(e.findings()));
        }
    }

    private void delete() {
        List<String> operands = arguments.operands();
        if (operands.size() != 2) {
            throw usage("delete needs KIND and NAME");
        }
        EntityKey key = new EntityKey(kind(operands.get(0)), operands.get(1));
        ChangeCommitter committer = committer();
        if (reportEarlier(
                committer, edit -> edit instanceof DeleteEdit && edit.key().equals(key))) {
            return;
        }
        Optional<VersionedDeclaration> present = committer.refresh().find(key);
        if (present.isEmpty()) {
            throw usage(key + " does not exist");
        }
        commit(committer, List.of(new DeleteEdit(key, readRevision(present))));
    }

    private void show() {
        List<String> operands = arguments.operands();
        if (operands.size() > 2) {
            throw usage("show takes at most KIND and NAME");
        }
        Optional<EntityKind> kind = operands.stream().findFirst().map(OperatorCommands::kind);
        Configuration current = committer().refresh();
        List<VersionedDeclaration> entities = current.entities().values().stream()
                .filter(entity -> kind.isEmpty() || entity.declaration().key().kind() == kind.get())
                .filter(entity ->
                        operands.size() < 2 || entity.declaration().key().name().equals(operands.get(1)))
                .sorted(Comparator.comparing(entity -> entity.declaration().key()))
                .toList();
        if (operands.size() == 2 && entities.isEmpty()) {
            throw usage(String.join(".", operands) + " does not exist");
        }
        out.println("# revision " + current.revision());
        for (VersionedDeclaration entity : entities) {
            out.println();
            out.println("# last changed at revision " + entity.revision());
            out.print(DeclarationWriter.write(entity.declaration()));
        }
    }

    private void status() {
        if (arguments.store().isEmpty() && arguments.proxies().isEmpty()) {
            throw usage("status needs --store or --proxy");
        }
        Optional<CassiabankException> failure = Optional.empty();
        long newest = 0;
        if (arguments.store().isPresent()) {
            try {
                newest = committer().refresh().revision();
                out.println("store: revision " + newest);
            } catch (CassiabankException e) {
                out.println("store: " + e.getMessage());
                failure = Optional.of(e);
            }
        }
        Map<String, ProxyStatus> statuses = ProxyStatusClient.create().readAll(arguments.proxies());
        long unknown = 0;
        for (Map.Entry<String, ProxyStatus> entry : statuses.entrySet()) {
            switch (entry.getValue()) {
                case ProxyStatus.Reported reported -> {
                    String lag = newest > reported.revision() ? ", behind by " + (newest - reported.revision()) : "";
                    out.println(entry.getKey() + ": " + reported.name() + " has revision " + reported.revision() + lag);
                }
                case ProxyStatus.Unknown none -> {
                    out.println(entry.getKey() + ": unknown, " + none.reason());
                    unknown++;
                }
            }
        }
        if (failure.isPresent()) {
            throw failure.get();
        }
        if (unknown > 0) {
            throw CassiabankException.of(
                    ErrorCode.PEER_UNAVAILABLE, unknown + " of " + statuses.size() + " proxies did not report");
        }
    }

    private DeclarationFiles readFiles() {
        if (arguments.operands().isEmpty()) {
            throw usage(arguments.command() + " needs at least one FILE");
        }
        return DeclarationFiles.read(arguments.operands().stream().map(Path::of).toList());
    }

    private ChangeCommitter committer() {
        URI store = arguments.store().orElseThrow(() -> usage(arguments.command() + " needs --store URL"));
        return ChangeCommitter.create(stores.apply(store));
    }

    /** Reports the operation of {@code --operation} if it was committed before. */
    private boolean reportEarlier(ChangeCommitter committer, Predicate<Edit> isWanted) {
        Optional<Change> earlier = arguments.operation().flatMap(committer::findOperation);
        if (earlier.isEmpty()) {
            return false;
        }
        Change change = earlier.get();
        if (!change.edits().stream().allMatch(isWanted)) {
            throw usage("operation id " + change.operationId() + " was used for other edits at revision "
                    + change.revision());
        }
        out.println("operation " + change.operationId() + " was already committed at revision " + change.revision());
        return true;
    }

    private void commit(ChangeCommitter committer, List<Edit> edits) {
        String operation =
                arguments.operation().orElseGet(() -> UUID.randomUUID().toString());
        Change change = committer.commit(operation, edits);
        out.println("operation " + operation + " is committed at revision " + change.revision() + " with "
                + edits.size() + (edits.size() == 1 ? " edit" : " edits"));
    }

    /** Returns the revision that an edit is based on; a stale one makes the committer report the conflict. */
    private long readRevision(Optional<VersionedDeclaration> present) {
        long revision = present.map(VersionedDeclaration::revision).orElse(0L);
        return arguments.base().map(base -> Math.min(base, revision)).orElse(revision);
    }

    private static EntityKind kind(String word) {
        return EntityKind.fromKeyword(word)
                .orElseThrow(() -> usage("unknown kind " + word + "; expected " + EntityKind.describeKeywords()));
    }

    private static CassiabankException usage(String message) {
        return CassiabankException.of(ErrorCode.INVALID_INPUT, message);
    }
}
