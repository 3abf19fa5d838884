package org.cassiabank.operator;

import java.io.PrintStream;
import java.net.URI;
import java.util.function.Function;
import joptsimple.OptionException;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.revision.ChangeStore;
import org.cassiabank.store.StoreClient;

/**
 * The program {@code cassiabankctl}, with which operators check, change and read the configuration.
 */
public final class OperatorMain {
    private static final String MESSAGE_PREFIX = "cassiabankctl: ";
    private static final int SUCCESS_EXIT_CODE = 0;
    private static final int FAILURE_EXIT_CODE = 1;
    private static final int USAGE_EXIT_CODE = 2;
    private static final int CONFLICT_EXIT_CODE = 3;
    private static final int STORE_UNAVAILABLE_EXIT_CODE = 4;

    private OperatorMain() {}

    /**
     * Runs the program and exits with 0 for success, 1 for a failure during operation or for warnings of
     * {@code check --strict}, 2 for wrong usage or invalid
     * declarations, 3 for a conflict, or 4 if the store is unavailable (section 13 of the design page).
     *
     * @param arguments the command line; {@code --help} describes it
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, StoreClient::create, System.out, System.err));
    }

    /**
     * Runs the program without exiting the process.
     *
     * @param arguments the command line
     * @param storeFactory creates the client of the store at a URL
     * @param output receives the results
     * @param errorOutput receives error messages and findings
     * @return the exit code, from 0 to 4
     */
    static int run(
            String[] arguments, Function<URI, ChangeStore> storeFactory, PrintStream output, PrintStream errorOutput) {
        try {
            OperatorArguments parsedArguments = OperatorArguments.parse(arguments);
            if (parsedArguments.isHelpRequested()) {
                parsedArguments.printHelp(output);
                return SUCCESS_EXIT_CODE;
            }
            boolean succeeded = OperatorCommands.create(parsedArguments, storeFactory, output)
                    .execute();
            return succeeded ? SUCCESS_EXIT_CODE : FAILURE_EXIT_CODE;
        } catch (OptionException | IllegalArgumentException exception) {
            errorOutput.println(MESSAGE_PREFIX + exception.getMessage());
            return USAGE_EXIT_CODE;
        } catch (CassiabankException exception) {
            errorOutput.println(
                    exception.findings().isEmpty() ? MESSAGE_PREFIX + exception.getMessage() : exception.getMessage());
            return switch (exception.code()) {
                case INVALID_INPUT -> USAGE_EXIT_CODE;
                case CONFLICT -> CONFLICT_EXIT_CODE;
                case STORE_UNAVAILABLE -> STORE_UNAVAILABLE_EXIT_CODE;
                case PEER_UNAVAILABLE, PEER_REPLY_MISSING, SERVICE_MISSING, START_FAILED -> FAILURE_EXIT_CODE;
            };
        }
    }
}
