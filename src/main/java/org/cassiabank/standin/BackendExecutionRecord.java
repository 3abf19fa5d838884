package org.cassiabank.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the started and finished executions of a backend stand-in per key, and totals over all keys. Thread-safe.
 */
final class BackendExecutionRecord {
    private final Map<String, ExecutionCounts> countsByKey = new ConcurrentHashMap<>();
    private final LongAdder receivedRequests = new LongAdder();
    private final LongAdder startedExecutions = new LongAdder();
    private final LongAdder finishedExecutions = new LongAdder();
    private final LongAdder shedRequests = new LongAdder();
    private final LongAdder cancelledRequests = new LongAdder();
    private final LongAdder injectedFaults = new LongAdder();

    private final Optional<PrintStream> journal;

    private BackendExecutionRecord(Optional<PrintStream> journal) {
        this.journal = journal;
    }

    static BackendExecutionRecord create() {
        return new BackendExecutionRecord(Optional.empty());
    }

    /** Creates a record that also appends the key of each started execution to a file, which survives the process. */
    static BackendExecutionRecord withJournal(Path file) throws IOException {
        OutputStream stream = Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        return new BackendExecutionRecord(Optional.of(new PrintStream(stream, true, StandardCharsets.UTF_8)));
    }

    void recordReceived() {
        receivedRequests.increment();
    }

    void recordShed() {
        shedRequests.increment();
    }

    void recordCancelled() {
        cancelledRequests.increment();
    }

    void recordFault() {
        injectedFaults.increment();
    }

    void recordStarted(String key) {
        startedExecutions.increment();
        journal.ifPresent(stream -> stream.println(key));
        countsByKey.merge(key, new ExecutionCounts(1, 0), ExecutionCounts::add);
    }

    void recordFinished(String key) {
        finishedExecutions.increment();
        countsByKey.merge(key, new ExecutionCounts(0, 1), ExecutionCounts::add);
    }

    /** Returns the JSON object of the totals, with the executions per key unless {@code summaryOnly}. */
    Map<String, Object> toDocument(String serverName, boolean summaryOnly) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("name", serverName);
        document.put("received", receivedRequests.sum());
        document.put("started", startedExecutions.sum());
        document.put("finished", finishedExecutions.sum());
        document.put("shed", shedRequests.sum());
        document.put("cancelled", cancelledRequests.sum());
        document.put("faulty", injectedFaults.sum());
        if (!summaryOnly) {
            document.put("executions", new TreeMap<>(countsByKey));
        }
        return document;
    }

    /**
     * The numbers of executions of one key; the component names are JSON keys.
     *
     * @param started the number of started executions
     * @param finished the number of finished executions
     */
    record ExecutionCounts(int started, int finished) {
        ExecutionCounts add(ExecutionCounts other) {
            return new ExecutionCounts(started + other.started, finished + other.finished);
        }
    }
}
