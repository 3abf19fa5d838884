package org.cassiabank.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * The command line of {@code cassiabankctl}.
 */
final class OperatorArguments {
    private static final String USAGE = """
            cassiabankctl COMMAND [OPTION...]

              check FILE...      check declarations, with --store together with the configuration in force; print
                                 warnings, and with --store or --against the differences
              apply FILE...      add or replace the declared entities; entities that no file names stay
              delete KIND NAME   delete one label, service or selector
              show [KIND [NAME]] print the configuration in force as TOML
              status             print the revision of the store and of each --proxy

            Exit codes: 0 success, 1 failure during operation or warnings with check --strict, 2 usage or
            invalid declarations, 3 conflict, 4 store unavailable.
            """;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> positionalArguments = parser.nonOptions();
    private final OptionSpec<String> storeOption = parser.accepts(
                    "store", "URL of the platform's store, for example http://127.0.0.1:8500")
            .withRequiredArg()
            .describedAs("URL");
    private final OptionSpec<String> operationOption = parser.accepts(
                    "operation", "id of an earlier apply or delete whose answer was lost; repeats it at most once")
            .withRequiredArg()
            .describedAs("ID");
    private final OptionSpec<Long> baseOption = parser.accepts(
                    "base", "revision that the files are based on; entities changed later are a conflict")
            .withRequiredArg()
            .ofType(Long.class)
            .describedAs("REVISION");
    private final OptionSpec<String> proxyOption = parser.accepts("proxy", "admin address of a proxy; can be repeated")
            .withRequiredArg()
            .describedAs("HOST:PORT");
    private final OptionSpec<String> againstOption = parser.accepts(
                    "against",
                    "check: declaration file to compare with; can be repeated for a version in several files")
            .withRequiredArg()
            .describedAs("FILE");
    private final OptionSpec<Void> strictOption = parser.accepts("strict", "check: exit with 1 if there are warnings");
    private final OptionSpec<Void> helpOption =
            parser.acceptsAll(List.of("help", "h"), "print this help").forHelp();
    private final OptionSet options;

    private OperatorArguments(String[] arguments) {
        this.options = parser.parse(arguments);
    }

    /**
     * Parses a command line. Whether the command exists and has its operands is not checked.
     *
     * @param arguments the arguments of the program
     * @return the parsed command line
     * @throws joptsimple.OptionException if an option is unknown or malformed
     */
    static OperatorArguments parse(String[] arguments) {
        return new OperatorArguments(arguments);
    }

    boolean isHelpRequested() {
        return options.has(helpOption);
    }

    void printHelp(PrintStream output) {
        output.println(USAGE);
        try {
            parser.printHelpOn(output);
        } catch (IOException exception) {
            throw new IllegalStateException("the help text cannot be written", exception);
        }
    }

    /** Returns the command, or an empty text if there is none. */
    String command() {
        List<String> words = options.valuesOf(positionalArguments);
        return words.isEmpty() ? "" : words.getFirst();
    }

    /** Returns the words after the command, without options. */
    List<String> operands() {
        List<String> words = options.valuesOf(positionalArguments);
        return words.isEmpty() ? words : words.subList(1, words.size());
    }

    /**
     * Returns the URL of {@code --store}.
     *
     * @throws IllegalArgumentException if it is not a URI
     */
    Optional<URI> storeUrl() {
        return Optional.ofNullable(options.valueOf(storeOption)).map(URI::create);
    }

    /** Returns the identifier of {@code --operation}. */
    Optional<String> operationId() {
        return Optional.ofNullable(options.valueOf(operationOption));
    }

    /** Returns the revision of {@code --base}. */
    Optional<Long> baseRevision() {
        return Optional.ofNullable(options.valueOf(baseOption));
    }

    /** Returns the admin addresses of all {@code --proxy} options, each host and port. */
    List<String> proxyAddresses() {
        return options.valuesOf(proxyOption);
    }

    /** Returns the files of all {@code --against} options, which together hold one version. */
    List<String> againstFiles() {
        return options.valuesOf(againstOption);
    }

    /** Tells whether warnings of {@code check} count as a failure. */
    boolean isStrict() {
        return options.has(strictOption);
    }
}
