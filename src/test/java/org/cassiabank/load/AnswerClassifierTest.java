package org.cassiabank.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a tool that overlooks foreign or incomplete answers, unexplained refusals and executions. */
class AnswerClassifierTest {
    private static final String BODY = "token=t1\nserver=s\nreceived=0\n...\nend=t1\n";

    @Test
    void aWholeAnswerToTheOwnRequestIsAnswered() {
        assertThat(classify(200, "answered", "", "r1", BODY)).isEqualTo(AnswerClass.ANSWERED);
    }

    @Test
    void answersWithAnIdThatWasNotSentMissTheTarget() {
        Arrival arrival = sample(1, "t", AnswerClass.ANSWERED).arrival();
        Sample foreign = new Sample(arrival, 0, "t", AnswerClass.ANSWERED, 200, "", 1, 0, true, -1);
        assertThat(Measures.ofClasses(new Samples(List.of(foreign))))
                .filteredOn(measure -> !measure.passes())
                .extracting(Measure::name)
                .containsExactly("answers with a request id that was not sent");
    }

    @Test
    void anAnswerWithTheBodyOfAnotherRequestIsWrongWhateverItsStatus() {
        String foreign = BODY.replace("t1", "t2");
        assertThat(classify(200, "answered", "", "r1", foreign)).isEqualTo(AnswerClass.WRONG);
        assertThat(classify(500, "answered", "", "r1", foreign)).isEqualTo(AnswerClass.WRONG);
    }

    @Test
    void aShortenedBodyIsWrong() {
        assertThat(classify(200, "answered", "", "r1", BODY.substring(0, 20))).isEqualTo(AnswerClass.WRONG);
    }

    @Test
    void aServerErrorOfTheBackendServerIsAFailure() {
        assertThat(classify(500, "answered", "", "r1", BODY)).isEqualTo(AnswerClass.FAILED);
    }

    @Test
    void refusalsAndUnknownOutcomesNeedAReason() {
        assertThat(classify(503, "not-run", "overload", "", "")).isEqualTo(AnswerClass.NOT_RUN);
        assertThat(classify(503, "not-run", "", "", "")).isEqualTo(AnswerClass.UNMARKED);
        assertThat(classify(504, "unknown", "deadline", "", "")).isEqualTo(AnswerClass.UNKNOWN);
        assertThat(classify(504, "unknown", "", "", "")).isEqualTo(AnswerClass.UNMARKED);
    }

    @Test
    void anAnswerWithoutOutcomeIsUnmarked() {
        assertThat(classify(200, "", "", "r1", BODY)).isEqualTo(AnswerClass.UNMARKED);
        assertThat(classify(200, "done", "", "r1", BODY)).isEqualTo(AnswerClass.UNMARKED);
    }

    @Test
    void aShedAnswerOfABackendServerIsNotRun() {
        ReceivedAnswer shed = new ReceivedAnswer(503, "", "", "r1", true, "shed\n");
        assertThat(AnswerClassifier.classifyDirect(shed, "t1")).isEqualTo(AnswerClass.NOT_RUN);
    }

    @Test
    void recordsShowDuplicatesAndRefusedRequestsThatRan() {
        Samples samples = new Samples(List.of(
                sample(1, "once", AnswerClass.ANSWERED),
                sample(2, "twice", AnswerClass.UNKNOWN),
                sample(3, "refused", AnswerClass.NOT_RUN),
                sample(4, "phantom", AnswerClass.ANSWERED)));
        RecordCheck check = RecordCheck.of(samples, Map.of("once", 1, "twice", 2, "refused", 1));
        assertThat(check.duplicates()).containsExactly("twice ran 2 times");
        assertThat(check.ranThoughNotRun()).containsExactly("refused ran 1 times");
        assertThat(check.answeredWithoutRun()).containsExactly("phantom");
        assertThat(check.measures()).filteredOn(measure -> !measure.passes()).hasSize(3);
    }

    @Test
    void aRequestThatRanAfterARefusedAttemptIsNoContradiction() {
        Samples samples = new Samples(
                List.of(sample(1, "repeated", AnswerClass.NOT_RUN), sample(1, "repeated", AnswerClass.ANSWERED)));
        RecordCheck check = RecordCheck.of(samples, Map.of("repeated", 1));
        assertThat(check.measures()).allMatch(Measure::passes);
    }

    @Test
    void aFigureThatWasNotMeasuredMissesItsTarget() {
        assertThat(Measure.atMost("p99", Double.NaN, "ms", 5).passes()).isFalse();
        assertThat(Measure.atLeast("share", Double.NaN, "", 0).passes()).isFalse();
    }

    private static Sample sample(int number, String token, AnswerClass answerClass) {
        RequestKind kind = RequestKind.order(1);
        Arrival arrival = new Arrival(number, 0, Phase.of("a", 1, 1, kind), kind, 0, 1);
        return new Sample(arrival, 0, token, answerClass, 200, "", 1, 0, false, -1);
    }

    private static AnswerClass classify(int status, String outcome, String reason, String requestId, String body) {
        ReceivedAnswer answer = new ReceivedAnswer(status, outcome, reason, requestId, false, body);
        return AnswerClassifier.classify(answer, "t1");
    }
}
