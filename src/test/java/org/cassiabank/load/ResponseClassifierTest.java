package org.cassiabank.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a load tool that overlooks violations of the guarantees: responses that are truncated or belong to
 * another request, refusals without a reason, and executions that contradict the outcome that a caller observed. A
 * violation would then be reported as a success.
 */
class ResponseClassifierTest {
    private static final String BODY = "token=t1\nserver=s\nreceived=0\n...\nend=t1\n";

    @Test
    void aCompleteResponseToTheRequestIsClassifiedAsAnswered() {
        assertThat(classify(200, "answered", "", "r1", BODY)).isEqualTo(ObservedOutcome.ANSWERED);
    }

    @Test
    void aResponseWithARequestIdThatWasNotSentMissesTheTarget() {
        Arrival arrival = sample(1, "t", ObservedOutcome.ANSWERED).arrival();
        Sample foreign = new Sample(arrival, 0, "t", ObservedOutcome.ANSWERED, 200, "", 1, 0, true, -1);
        assertThat(Measures.ofOutcomes(new Samples(List.of(foreign))))
                .filteredOn(measure -> !measure.passes())
                .extracting(Measure::name)
                .containsExactly("answers with a request id that was not sent");
    }

    @Test
    void aResponseWithTheBodyOfAnotherRequestIsWrongWhateverItsStatus() {
        String foreign = BODY.replace("t1", "t2");
        assertThat(classify(200, "answered", "", "r1", foreign)).isEqualTo(ObservedOutcome.WRONG);
        assertThat(classify(500, "answered", "", "r1", foreign)).isEqualTo(ObservedOutcome.WRONG);
    }

    @Test
    void aTruncatedBodyIsClassifiedAsWrong() {
        assertThat(classify(200, "answered", "", "r1", BODY.substring(0, 20))).isEqualTo(ObservedOutcome.WRONG);
    }

    @Test
    void aServerErrorOfTheBackendServerIsClassifiedAsFailed() {
        assertThat(classify(500, "answered", "", "r1", BODY)).isEqualTo(ObservedOutcome.FAILED);
    }

    @Test
    void refusalsAndUnknownOutcomesWithoutAReasonAreUnmarked() {
        assertThat(classify(503, "not-run", "overload", "", "")).isEqualTo(ObservedOutcome.NOT_RUN);
        assertThat(classify(503, "not-run", "", "", "")).isEqualTo(ObservedOutcome.UNMARKED);
        assertThat(classify(504, "unknown", "deadline", "", "")).isEqualTo(ObservedOutcome.UNKNOWN);
        assertThat(classify(504, "unknown", "", "", "")).isEqualTo(ObservedOutcome.UNMARKED);
    }

    @Test
    void aResponseWithoutAValidOutcomeIsUnmarked() {
        assertThat(classify(200, "", "", "r1", BODY)).isEqualTo(ObservedOutcome.UNMARKED);
        assertThat(classify(200, "done", "", "r1", BODY)).isEqualTo(ObservedOutcome.UNMARKED);
    }

    @Test
    void aRequestThatABackendServerShedIsClassifiedAsNotRun() {
        ReceivedResponse shed = new ReceivedResponse(503, "", "", "r1", true, "shed\n");
        assertThat(ResponseClassifier.classifyDirect(shed, "t1")).isEqualTo(ObservedOutcome.NOT_RUN);
    }

    @Test
    void executionCheckFindsDuplicatesRefusedRequestsThatRanAndResponsesWithoutExecution() {
        Samples samples = new Samples(List.of(
                sample(1, "once", ObservedOutcome.ANSWERED),
                sample(2, "twice", ObservedOutcome.UNKNOWN),
                sample(3, "refused", ObservedOutcome.NOT_RUN),
                sample(4, "phantom", ObservedOutcome.ANSWERED)));
        ExecutionCheck executionCheck = ExecutionCheck.of(samples, Map.of("once", 1, "twice", 2, "refused", 1));
        assertThat(executionCheck.duplicates()).containsExactly("twice ran 2 times");
        assertThat(executionCheck.executedThoughRefused()).containsExactly("refused ran 1 times");
        assertThat(executionCheck.answeredWithoutExecution()).containsExactly("phantom");
        assertThat(executionCheck.measures())
                .filteredOn(measure -> !measure.passes())
                .hasSize(3);
    }

    @Test
    void aRequestThatRanAfterARefusedSendIsNoContradiction() {
        Samples samples = new Samples(List.of(
                sample(1, "repeated", ObservedOutcome.NOT_RUN), sample(1, "repeated", ObservedOutcome.ANSWERED)));
        ExecutionCheck executionCheck = ExecutionCheck.of(samples, Map.of("repeated", 1));
        assertThat(executionCheck.measures()).allMatch(Measure::passes);
    }

    @Test
    void aValueThatWasNotMeasuredMissesItsTarget() {
        assertThat(Measure.atMost("p99", Double.NaN, "ms", 5).passes()).isFalse();
        assertThat(Measure.atLeast("share", Double.NaN, "", 0).passes()).isFalse();
    }

    private static Sample sample(int index, String token, ObservedOutcome outcome) {
        RequestKind kind = RequestKind.order(1);
        Arrival arrival = new Arrival(index, 0, Phase.of("a", 1, 1, kind), kind, 0, 1);
        return new Sample(arrival, 0, token, outcome, 200, "", 1, 0, false, -1);
    }

    private static ObservedOutcome classify(int status, String outcome, String reason, String requestId, String body) {
        ReceivedResponse received = new ReceivedResponse(status, outcome, reason, requestId, false, body);
        return ResponseClassifier.classify(received, "t1");
    }
}
