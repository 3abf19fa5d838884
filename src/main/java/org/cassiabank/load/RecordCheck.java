package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares what callers were told with what backend servers ran.
 *
 * @param duplicates unrepeatable requests that ran more than once
 * @param ranThoughNotRun requests that ran although every response to their caller said that they had not
 * @param answeredWithoutRun requests that were answered although no server ran them
 * @param unrepeatable the number of unrepeatable requests that were checked
 */
public record RecordCheck(
        List<String> duplicates, List<String> ranThoughNotRun, List<String> answeredWithoutRun, int unrepeatable) {

    /**
     * Copies the lists.
     */
    public RecordCheck {
        duplicates = List.copyOf(duplicates);
        ranThoughNotRun = List.copyOf(ranThoughNotRun);
        answeredWithoutRun = List.copyOf(answeredWithoutRun);
    }

    /**
     * Compares samples with the servers' records.
     *
     * @param samples the samples of a run
     * @param executions the number of executions per token
     * @return what contradicts the guarantees
     */
    public static RecordCheck of(Samples samples, Map<String, Integer> executions) {
        Map<String, List<Sample>> byToken = new TreeMap<>();
        for (Sample sample : samples.all()) {
            byToken.computeIfAbsent(sample.token(), token -> new ArrayList<>()).add(sample);
        }
        List<String> duplicates = new ArrayList<>();
        List<String> ranThoughNotRun = new ArrayList<>();
        List<String> answeredWithoutRun = new ArrayList<>();
        int unrepeatable = 0;
        for (Map.Entry<String, List<Sample>> entry : byToken.entrySet()) {
            int ran = executions.getOrDefault(entry.getKey(), 0);
            List<Sample> told = entry.getValue();
            if (told.getFirst().arrival().kind().unrepeatable()) {
                unrepeatable++;
                if (ran > 1) {
                    duplicates.add(entry.getKey() + " ran " + ran + " times");
                }
            }
            boolean onlyNotRun = told.stream()
                    .allMatch(sample -> sample.answerClass() == AnswerClass.NOT_RUN
                            || sample.answerClass() == AnswerClass.NOT_CONNECTED);
            if (onlyNotRun && ran > 0) {
                ranThoughNotRun.add(entry.getKey() + " ran " + ran + " times");
            }
            if (ran == 0 && told.stream().anyMatch(sample -> sample.answerClass() == AnswerClass.ANSWERED)) {
                answeredWithoutRun.add(entry.getKey());
            }
        }
        return new RecordCheck(duplicates, ranThoughNotRun, answeredWithoutRun, unrepeatable);
    }

    /**
     * Returns the figures with their targets.
     *
     * @return the measures
     */
    public List<Measure> measures() {
        return List.of(
                Measure.of("unrepeatable requests checked against records", unrepeatable, ""),
                Measure.atMost("unrepeatable requests that ran more than once", duplicates.size(), "", 0),
                Measure.atMost("requests that ran although told not-run", ranThoughNotRun.size(), "", 0),
                Measure.atMost("answers without an execution", answeredWithoutRun.size(), "", 0));
    }

    /**
     * Describes the first contradictions.
     *
     * @return at most five lines per kind
     */
    public List<String> notes() {
        List<String> notes = new ArrayList<>();
        duplicates.stream().limit(5).forEach(text -> notes.add("duplicate: " + text));
        ranThoughNotRun.stream().limit(5).forEach(text -> notes.add("told not-run: " + text));
        answeredWithoutRun.stream().limit(5).forEach(text -> notes.add("answered without an execution: " + text));
        return notes;
    }
}
