package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares what callers were told with what backend servers ran.
 *
 * @param duplicates unrepeatable requests that ran more than once
 * @param executedThoughRefused requests that ran although every response to their caller said that they had not
 * @param answeredWithoutExecution requests that were answered although no server ran them
 * @param unrepeatableCount the number of unrepeatable requests that were checked
 */
public record ExecutionCheck(
        List<String> duplicates,
        List<String> executedThoughRefused,
        List<String> answeredWithoutExecution,
        int unrepeatableCount) {

    /**
     * Copies the lists.
     */
    public ExecutionCheck {
        duplicates = List.copyOf(duplicates);
        executedThoughRefused = List.copyOf(executedThoughRefused);
        answeredWithoutExecution = List.copyOf(answeredWithoutExecution);
    }

    /**
     * Compares samples with the servers' records.
     *
     * @param samples the samples of a run
     * @param executions the number of executions per token
     * @return what contradicts the guarantees
     */
    public static ExecutionCheck of(Samples samples, Map<String, Integer> executions) {
        Map<String, List<Sample>> samplesByToken = new TreeMap<>();
        for (Sample sample : samples.all()) {
            samplesByToken
                    .computeIfAbsent(sample.token(), token -> new ArrayList<>())
                    .add(sample);
        }
        List<String> duplicates = new ArrayList<>();
        List<String> executedThoughRefused = new ArrayList<>();
        List<String> answeredWithoutExecution = new ArrayList<>();
        int unrepeatableCount = 0;
        for (Map.Entry<String, List<Sample>> entry : samplesByToken.entrySet()) {
            int executionCount = executions.getOrDefault(entry.getKey(), 0);
            List<Sample> tokenSamples = entry.getValue();
            if (tokenSamples.getFirst().arrival().kind().unrepeatable()) {
                unrepeatableCount++;
                if (executionCount > 1) {
                    duplicates.add(entry.getKey() + " ran " + executionCount + " times");
                }
            }
            boolean alwaysRefused = tokenSamples.stream()
                    .allMatch(sample -> sample.outcome() == ObservedOutcome.NOT_RUN
                            || sample.outcome() == ObservedOutcome.NOT_CONNECTED);
            if (alwaysRefused && executionCount > 0) {
                executedThoughRefused.add(entry.getKey() + " ran " + executionCount + " times");
            }
            if (executionCount == 0
                    && tokenSamples.stream().anyMatch(sample -> sample.outcome() == ObservedOutcome.ANSWERED)) {
                answeredWithoutExecution.add(entry.getKey());
            }
        }
        return new ExecutionCheck(duplicates, executedThoughRefused, answeredWithoutExecution, unrepeatableCount);
    }

    /**
     * Returns the figures with their targets.
     *
     * @return the measures
     */
    public List<Measure> measures() {
        return List.of(
                Measure.of("unrepeatable requests checked against records", unrepeatableCount, ""),
                Measure.atMost("unrepeatable requests that ran more than once", duplicates.size(), "", 0),
                Measure.atMost("requests that ran although told not-run", executedThoughRefused.size(), "", 0),
                Measure.atMost("answers without an execution", answeredWithoutExecution.size(), "", 0));
    }

    /**
     * Describes the first contradictions.
     *
     * @return at most five lines per kind
     */
    public List<String> notes() {
        List<String> notes = new ArrayList<>();
        duplicates.stream().limit(5).forEach(text -> notes.add("duplicate: " + text));
        executedThoughRefused.stream().limit(5).forEach(text -> notes.add("told not-run: " + text));
        answeredWithoutExecution.stream().limit(5).forEach(text -> notes.add("answered without an execution: " + text));
        return notes;
    }
}
