package org.cassiabank.load;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * A Java process that this tool started and that only it may signal or end. Thread-safe.
 */
public final class ChildProcess implements AutoCloseable {
    private static final long FORCED_STOP_TIMEOUT_MILLIS = 5_000;

    private final String name;
    private final Process process;
    private final Path logFile;

    private ChildProcess(String name, Process process, Path logFile) {
        this.name = name;
        this.process = process;
        this.logFile = logFile;
    }

    /**
     * Starts a main class of this project with the JVM and class path of this process.
     *
     * @param name the name for messages
     * @param mainClass the full name of the main class
     * @param javaOptions options for the JVM
     * @param arguments arguments for the program
     * @param logFile the file that receives standard output and standard error; appended to if it exists
     * @return the running process
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the process cannot be started
     */
    public static ChildProcess start(
            String name, String mainClass, List<String> javaOptions, List<String> arguments, Path logFile) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaOptions);
        // Surefire starts tests with a class path of one manifest file and keeps the real one in its own property.
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(mainClass);
        command.addAll(arguments);
        File outputFile = logFile.toFile();
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile))
                    .start();
            process.getOutputStream().close();
            return new ChildProcess(name, process, logFile);
        } catch (IOException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.START_FAILED, name + " could not be started: " + exception.getMessage(), exception);
        }
    }

    /**
     * Returns the name for messages.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the process id.
     *
     * @return the id
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Tells whether the process still runs.
     *
     * @return true until it ends
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Sends a signal to the process.
     *
     * @param signalName the name without SIG, for example STOP, CONT, TERM or KILL
     */
    public void sendSignal(String signalName) {
        if (!process.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.START_FAILED, "kill could not be started: " + exception.getMessage(), exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for the end of the process.
     *
     * @param timeoutMillis the longest wait in milliseconds
     * @return the exit code, or -1 if the process still runs
     * @throws InterruptedException if the thread is interrupted
     */
    public int awaitExit(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /**
     * Returns the last lines of the log, for messages about a process that failed.
     *
     * @return at most ten lines, or a note that the log cannot be read
     */
    public String lastLogLines() {
        try {
            List<String> lines = Files.readAllLines(logFile);
            return String.join(System.lineSeparator(), lines.subList(Math.max(0, lines.size() - 10), lines.size()));
        } catch (IOException exception) {
            return "log " + logFile + " cannot be read: " + exception.getMessage();
        }
    }

    /**
     * Ends the process at once. A stopped (SIGSTOP) process is ended too.
     */
    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(FORCED_STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
