package org.cassiabank.standin;

import java.util.LinkedHashMap;
import java.util.Map;
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

    private BackendRecord() {}

    static BackendRecord create() {
        return new BackendRecord();
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
