package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The violations found by comparing the outcomes that callers observed with the executions that backend servers
 * recorded.
 *
 * @param duplicates a line for each unrepeatable request that ran more than once
 * @param executedThoughRefused a line for each request that ran although all its sends were refused or not connected
 * @param answeredWithoutExecution the tokens of requests that were answered although no server ran them
 * @param unrepeatableCount the number of unrepeatable requests that were checked
 */
public record ExecutionCheck(
        List<String> duplicates,
        List<String> executedThoughRefused,
        List<String> answeredWithoutExecution,
        int unrepeatableCount) {

    /**
     * Copies the lists.
     *
     * @throws NullPointerException if a list or one of its elements is null
     */
    public ExecutionCheck {
        duplicates = List.copyOf(duplicates);
        executedThoughRefused = List.copyOf(executedThoughRefused);
        answeredWithoutExecution = List.copyOf(answeredWithoutExecution);
    }

    /**
     * Compares the samples of a run with the executions that backend servers recorded.
     *
     * @param samples the samples of the run
     * @param executions the number of executions per token; a missing token stands for none
     * @return the violations of the guarantees to callers
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
     * Returns the number of checked requests and the number of violations of each kind, whose target is 0.
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
     * Describes the first violations of each kind.
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
