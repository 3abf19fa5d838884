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
 * What a backend stand-in ran: started and finished executions per key, and totals. Thread-safe.
 */
final class BackendRecord {
    private final Map<String, Execution> executions = new ConcurrentHashMap<>();
    private final LongAdder received = new LongAdder();
    private final LongAdder started = new LongAdder();
    private final LongAdder finished = new LongAdder();
    private final LongAdder shed = new LongAdder();
    private final LongAdder cancelled = new LongAdder();
    private final LongAdder faulty = new LongAdder();

    private final Optional<PrintStream> journal;

    private BackendRecord(Optional<PrintStream> journal) {
        this.journal = journal;
    }

    static BackendRecord create() {
        return new BackendRecord(Optional.empty());
    }

    /** Creates a record that also appends the key of each started execution to a file, which outlives the process. */
    static BackendRecord withJournal(Path file) throws IOException {
        OutputStream stream = Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        return new BackendRecord(Optional.of(new PrintStream(stream, true, StandardCharsets.UTF_8)));
    }

    void received() {
        received.increment();
    }

    void shed() {
        shed.increment();
    }

    void cancelled() {
        cancelled.increment();
    }

    void faulty() {
        faulty.increment();
    }

    void started(String key) {
        started.increment();
        journal.ifPresent(stream -> stream.println(key));
        executions.merge(key, new Execution(1, 0), Execution::plus);
    }

    void finished(String key) {
        finished.increment();
        executions.merge(key, new Execution(0, 1), Execution::plus);
    }

    /** Returns the totals, with the executions per key unless only the summary is wanted. */
    Map<String, Object> toDocument(String name, boolean summary) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("name", name);
        document.put("received", received.sum());
        document.put("started", started.sum());
        document.put("finished", finished.sum());
        document.put("shed", shed.sum());
        document.put("cancelled", cancelled.sum());
        document.put("faulty", faulty.sum());
        if (!summary) {
            document.put("executions", new TreeMap<>(executions));
        }
        return document;
    }

    /**
     * The executions of one key.
     *
     * @param started how often it was started
     * @param finished how often it was finished
     */
    record Execution(int started, int finished) {
        Execution plus(Execution other) {
            return new Execution(started + other.started, finished + other.finished);
        }
    }
}
