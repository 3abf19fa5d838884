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

              check FILE...      check declarations; with --store also against the configuration in force
              apply FILE...      add or replace the declared entities; entities that no file names stay
              delete KIND NAME   delete one label, service or selector
              show [KIND [NAME]] print the configuration in force as TOML
              status             print the revision of the store and of each --proxy

            Exit codes: 0 success, 1 failure during operation, 2 usage or invalid declarations, 3 conflict,
            4 store unavailable.
            """;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> words = parser.nonOptions();
    private final OptionSpec<String> store = parser.accepts(
                    "store", "URL of the platform's store, for example http://127.0.0.1:8500")
            .withRequiredArg()
            .describedAs("URL");
    private final OptionSpec<String> operation = parser.accepts(
                    "operation", "id of an earlier apply or delete whose answer was lost; repeats it at most once")
            .withRequiredArg()
            .describedAs("ID");
    private final OptionSpec<Long> base = parser.accepts(
                    "base", "revision that the files are based on; entities changed later are a conflict")
            .withRequiredArg()
            .ofType(Long.class)
            .describedAs("REVISION");
    private final OptionSpec<String> proxy = parser.accepts("proxy", "admin address of a proxy; can be repeated")
            .withRequiredArg()
            .describedAs("HOST:PORT");
    private final OptionSpec<Void> help =
            parser.acceptsAll(List.of("help", "h"), "print this help").forHelp();
    private final OptionSet options;

    private OperatorArguments(String[] arguments) {
        this.options = parser.parse(arguments);
    }

    /**
     * Parses a command line.
     *
     * @throws joptsimple.OptionException if an option is unknown or malformed
     */
    static OperatorArguments parse(String[] arguments) {
        return new OperatorArguments(arguments);
    }

    boolean wantsHelp() {
        return options.has(help);
    }

    void printHelp(PrintStream out) {
        out.println(USAGE);
        try {
            parser.printHelpOn(out);
        } catch (IOException e) {
            throw new IllegalStateException("the help text cannot be written", e);
        }
    }

    /** Returns the command, empty if none was given. */
    String command() {
        List<String> given = options.valuesOf(words);
        return given.isEmpty() ? "" : given.getFirst();
    }

    /** Returns the arguments of the command. */
    List<String> operands() {
        List<String> given = options.valuesOf(words);
        return given.isEmpty() ? given : given.subList(1, given.size());
    }

    Optional<URI> store() {
        return Optional.ofNullable(options.valueOf(store)).map(URI::create);
    }

    Optional<String> operation() {
        return Optional.ofNullable(options.valueOf(operation));
    }

    Optional<Long> base() {
        return Optional.ofNullable(options.valueOf(base));
    }

    List<String> proxies() {
        return options.valuesOf(proxy);
    }
}
