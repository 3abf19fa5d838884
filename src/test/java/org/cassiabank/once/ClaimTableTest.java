package org.cassiabank.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.junit.jupiter.api.Test;

/**
 * Guards against forgotten, doubled and unbounded records of a keeper, and against wrong decisions of an entry proxy.
 */
class ClaimTableTest {
    private static final ClaimSettings SETTINGS = new ClaimSettings(4, 100, 60, 600_000, 1_000, 60_000);

    private final ClaimTable table = ready();

    private static ClaimTable ready() {
        ClaimTable table = ClaimTable.create(SETTINGS);
        table.setReady(true);
        return table;
    }

    private static RecordedResponse answer(int bytes) {
        return new RecordedResponse(200, Map.of(), new byte[bytes]);
    }

    private ClaimState claim(String key, String claim, long nowMillis) {
        return table.claim(key, claim, 7, nowMillis).state();
    }

    private static ClaimDecision decide(ClaimState... states) {
        return ClaimQuorum.decide(Arrays.stream(states)
                .map(state -> Optional.ofNullable(state)
                        .map(present -> present == ClaimState.ANSWERED
                                ? KeeperVote.answered(answer(1))
                                : KeeperVote.of(present)))
                .toList());
    }

    @Test
    void theFirstClaimIsGrantedAndRepeatsGetItsProgressAndItsAnswer() {
        assertThat(claim("k", "a", 0)).isEqualTo(ClaimState.GRANTED);
        assertThat(claim("k", "a", 1)).as("repeated after a lost reply").isEqualTo(ClaimState.GRANTED);
        assertThat(claim("k", "b", 2)).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(claim("k", "b", 60_000)).as("entry died").isEqualTo(ClaimState.UNKNOWN);
        table.conclude("k", "a", new ClaimConclusion.Answered(answer(9)), 60_001);
        assertThat(table.claim("k", "b", 7, 660_000)).isEqualTo(KeeperVote.answered(answer(9)));
        assertThat(table.claim("k", "b", 8, 660_000).state()).isEqualTo(ClaimState.MISMATCH);
        assertThat(claim("k", "b", 660_001)).as("after the retention time").isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void aFullTableRefusesNewKeysAndForgetsNoneInTheRetentionTime() {
        for (int key = 0; key < 4; key++) {
            assertThat(claim("k" + key, "a", key)).isEqualTo(ClaimState.GRANTED);
        }
        assertThat(claim("k4", "a", 599_999)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k0", "b", 599_999)).isEqualTo(ClaimState.UNKNOWN);
        assertThat(claim("k4", "a", 600_000)).isEqualTo(ClaimState.GRANTED);
        table.conclude("k4", "a", new ClaimConclusion.Released(), 600_000);
        assertThat(claim("k5", "a", 600_001)).as("room of k1").isEqualTo(ClaimState.GRANTED);
        assertThat(claim("k6", "a", 600_001)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k6", "a", 601_001)).as("room of the released key").isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void answersBeyondTheLimitsAreKeptAsUnknownOutcomes() {
        for (String key : List.of("large", "first", "second")) {
            claim(key, "a", 0);
            table.conclude(key, "a", new ClaimConclusion.Answered(answer(key.equals("large") ? 61 : 55)), 0);
        }
        assertThat(claim("large", "b", 1)).isEqualTo(ClaimState.UNKNOWN);
        assertThat(claim("first", "b", 1)).isEqualTo(ClaimState.ANSWERED);
        assertThat(claim("second", "b", 1)).as("all answers together").isEqualTo(ClaimState.UNKNOWN);
    }

    /** Guards against a second run by a claim that was not run when its caller was told so. */
    @Test
    void aReleasedKeyIsClosedToDelayedClaimsForTheClaimTime() {
        claim("k", "a", 0);
        table.conclude("k", "a", new ClaimConclusion.Released(), 10);
        table.conclude("k2", "c", new ClaimConclusion.Released(), 10);
        assertThat(claim("k", "b", 1_009)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k", "a", 5_000)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k2", "c", 5_000)).as("claim after its release").isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k", "b", 1_010)).isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void aTableThatIsNotReadyAnswersForKnownKeysOnly() {
        claim("k", "a", 0);
        table.setReady(false);
        assertThat(claim("k", "b", 1)).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(claim("new", "b", 1)).isEqualTo(ClaimState.NOT_READY);
    }

    @Test
    void handedOverRecordsAreNeverGrantedAndConflictingOnesAreKeptTogether() {
        ClaimTable other = ready();
        claim("k", "a", 0);
        assertThat(other.claim("k", "b", 7, 0).state()).isEqualTo(ClaimState.GRANTED);
        other.mergeRecords(table.records(5), 5);
        assertThat(other.claim("k", "a", 7, 6).state()).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(other.claim("k", "b", 7, 6).state()).isEqualTo(ClaimState.IN_PROGRESS);
        other.conclude("k", "b", new ClaimConclusion.Released(), 7);
        assertThat(other.claim("k", "c", 7, 5_000).state()).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(other.records(5_000)).extracting(ClaimRecord::claimId).containsExactly("a");
        table.conclude("k", "a", new ClaimConclusion.Answered(answer(3)), 5_000);
        other.mergeRecords(table.records(5_001), 5_001);
        assertThat(other.claim("k", "c", 7, 5_002).state()).isEqualTo(ClaimState.ANSWERED);
        other.conclude("k", "a", new ClaimConclusion.Released(), 5_003);
        assertThat(other.claim("k", "c", 7, 5_004).state()).isEqualTo(ClaimState.ANSWERED);
    }

    @Test
    void recordsThatDoNotFitCloseTheTableToUnknownKeys() {
        List<ClaimRecord> many = IntStream.range(0, 9)
                .mapToObj(key -> new ClaimRecord("k" + key, "a", 0, ClaimState.UNKNOWN, 0, Optional.empty()))
                .toList();
        table.mergeRecords(many, 0);
        assertThat(table.size()).isEqualTo(8);
        assertThat(claim("k8", "b", 599_999)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k8", "b", 600_000)).isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void aRequestProceedsOnlyWithTwoNewClaimsAndNoOlderOne() {
        ClaimState g = ClaimState.GRANTED;
        ClaimState p = ClaimState.IN_PROGRESS;
        assertThat(decide(g, g, g)).isEqualTo(new ClaimDecision.Proceed());
        assertThat(decide(g, null, g)).isEqualTo(new ClaimDecision.Proceed());
        assertThat(decide(g, ClaimState.NOT_READY, g)).isEqualTo(new ClaimDecision.Proceed());
        assertThat(decide(g, g, p)).isEqualTo(new ClaimDecision.NotRun("claim-split"));
        assertThat(decide(g, p, p)).isEqualTo(new ClaimDecision.InProgress());
        assertThat(decide(g, p, null)).isEqualTo(new ClaimDecision.InProgress());
        assertThat(decide(g, g, ClaimState.UNKNOWN)).isEqualTo(new ClaimDecision.EarlierOutcomeUnknown());
        assertThat(decide(p, ClaimState.UNKNOWN, ClaimState.ANSWERED)).isEqualTo(new ClaimDecision.Replay(answer(1)));
        assertThat(decide(g, g, ClaimState.MISMATCH)).isEqualTo(new ClaimDecision.Mismatch());
        assertThat(decide(g, null, null)).isEqualTo(new ClaimDecision.NotRun("keepers-unreachable"));
        assertThat(decide(g, ClaimState.NOT_READY, null)).isEqualTo(new ClaimDecision.NotRun("keepers-not-ready"));
    }

    /** Guards against records that stay with two keepers when the third is killed. */
    @Test
    void bothSurvivorsOfAKilledKeeperSendEveryRecordToItsSuccessor() {
        List<Instance> before = IntStream.range(0, 12)
                .mapToObj(number -> Instance.of(
                        "proxy-" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:1",
                        "region",
                        "domain-" + number % 4,
                        InstanceState.LIVE))
                .toList();
        for (int key = 0; key < 200; key++) {
            List<Instance> keepers = ClaimHandover.keepers("k" + key, before);
            List<Instance> after = before.stream()
                    .filter(proxy -> !proxy.equals(keepers.getFirst()))
                    .toList();
            List<Instance> successors = ClaimHandover.keepers("k" + key, after);
            List<ClaimRecord> record =
                    List.of(new ClaimRecord("k" + key, "a", 0, ClaimState.UNKNOWN, 0, Optional.empty()));
            assertThat(successors).containsAll(keepers.subList(1, 3));
            for (Instance survivor : keepers.subList(1, 3)) {
                Map<String, List<ClaimRecord>> plan = ClaimHandover.plan(survivor.name(), record, before, after);
                assertThat(successors)
                        .filteredOn(keeper -> !keepers.contains(keeper))
                        .extracting(Instance::name)
                        .containsExactlyElementsOf(plan.keySet());
            }
        }
    }

    /** Guards against a claim under the newest list only while others still use an older one. */
    @Test
    void listsStayInUseForTheWholeWindow() {
        ProxyListHistory history = ProxyListHistory.create(10, 5);
        assertThat(history.coversWindow(0)).isFalse();
        List<Instance> second =
                List.of(Instance.of("p", InstanceRole.PROXY, "127.0.0.1:1", "r", "d", InstanceState.LIVE));
        history.observe(List.of(), 0);
        history.observe(second, 100);
        assertThat(history.coversWindow(24)).isFalse();
        assertThat(history.coversWindow(25)).isTrue();
        assertThat(history.keeperSets("k", 124)).containsExactly(List.of(), second);
        assertThat(history.keeperSets("k", 125)).containsExactly(second);
        assertThat(history.isKeeper("p", "k", 125)).isTrue();
        assertThat(history.isKeeper("q", "k", 125)).isFalse();
        assertThat(history.coversWindow(125)).isTrue();
    }
}
