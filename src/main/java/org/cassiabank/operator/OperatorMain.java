package org.cassiabank.operator;

import java.io.PrintStream;
import java.net.URI;
import java.util.function.Function;
import joptsimple.OptionException;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.revision.ChangeStore;
import org.cassiabank.store.StoreClient;

/**
 * The operators' command line.
 */
public final class OperatorMain {
    private static final String PROGRAM = "cassiabankctl: ";
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;
    private static final int USAGE = 2;
    private static final int CONFLICT = 3;
    private static final int STORE_UNAVAILABLE = 4;

    private OperatorMain() {}

    /**
     * Runs the program and exits with the codes of section 13 of the design page.
     *
     * @param arguments the command line; {@code --help} describes it
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, StoreClient::create, System.out, System.err));
    }

    /**
     * Runs the program without ending the process.
     *
     * @param arguments the command line
     * @param stores creates the client of the store at a URL
     * @param out receives the results
     * @param err receives the errors
     * @return the exit code
     */
    static int run(String[] arguments, Function<URI, ChangeStore> stores, PrintStream out, PrintStream err) {
        try {
            OperatorArguments parsed = OperatorArguments.parse(arguments);
            if (parsed.wantsHelp()) {
                parsed.printHelp(out);
            } else {
                OperatorCommands.create(parsed, stores, out).execute();
            }
            return SUCCESS;
        } catch (OptionException | IllegalArgumentException e) {
            err.println(PROGRAM + e.getMessage());
            return USAGE;
        } catch (CassiabankException e) {
            err.println(e.findings().isEmpty() ? PROGRAM + e.getMessage() : e.getMessage());
            return switch (e.code()) {
                case INVALID_INPUT -> USAGE;
                case CONFLICT -> CONFLICT;
                case STORE_UNAVAILABLE -> STORE_UNAVAILABLE;
                case PEER_UNAVAILABLE, SERVICE_MISSING, START_FAILED -> FAILURE;
            };
        }
    }
}
