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
 * A Java process that this tool started. The tool signals and terminates no other processes. Thread-safe.
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
     * Starts a main class of this project with the JVM and class path of the current process.
     *
     * @param name the name of the process in messages
     * @param mainClass the fully qualified name of the main class
     * @param javaOptions the options of the JVM
     * @param arguments the arguments of the program
     * @param logFile the file to which standard output and standard error are appended; created if absent
     * @return the running process
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the process cannot be started
     */
    public static ChildProcess start(
            String name, String mainClass, List<String> javaOptions, List<String> arguments, Path logFile) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaOptions);
        // Surefire starts tests with a class path of a single manifest file and keeps the full one in a property of its
        // own.
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
     * Returns the name of the process in messages.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the process id that the operating system assigned.
     *
     * @return the process id
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns whether the process has not exited yet; a process stopped by SIGSTOP is alive.
     *
     * @return true until the process exits
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Sends a signal to the process. Has no effect if the process has exited.
     *
     * @param signalName the name without SIG, for example STOP, CONT, TERM or KILL
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the command {@code kill} cannot be started
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
     * Waits until the process exits or a timeout has passed.
     *
     * @param timeoutMillis the longest wait, in milliseconds
     * @return the exit code, or -1 if the process is still running
     * @throws InterruptedException if the thread is interrupted
     */
    public int awaitExit(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /**
     * Returns the last lines of the log file, for messages about a process that failed.
     *
     * @return at most ten lines, or a message that the log file cannot be read
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
     * Kills the process, also if it is stopped by SIGSTOP, and waits up to 5 s for its exit.
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
