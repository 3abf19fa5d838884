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
 * Guards against lost, conflicting and unbounded records of a keeper, and against wrong decisions of an entry proxy.
 * They come about through repeated, delayed and reordered messages, full tables, handovers between keepers, and changes
 * of the list of proxies.
 */
class ClaimTableTest {
    private static final ClaimSettings SETTINGS = new ClaimSettings(4, 100, 60, 600_000, 1_000, 60_000);

    private final ClaimTable table = readyTable();

    private static ClaimTable readyTable() {
        ClaimTable table = ClaimTable.create(SETTINGS);
        table.setReady(true);
        return table;
    }

    private static RecordedResponse recordedResponse(int bytes) {
        return new RecordedResponse(200, Map.of(), new byte[bytes]);
    }

    private ClaimState claim(String key, String claimId, long nowMillis) {
        return table.claim(key, claimId, 7, nowMillis).state();
    }

    private static ClaimDecision decide(ClaimState... states) {
        return ClaimQuorum.decide(Arrays.stream(states)
                .map(state -> Optional.ofNullable(state)
                        .map(present -> present == ClaimState.ANSWERED
                                ? KeeperVote.answered(recordedResponse(1))
                                : KeeperVote.of(present)))
                .toList());
    }

    @Test
    void theFirstClaimIsGrantedAndRepeatsGetItsProgressAndItsResponse() {
        assertThat(claim("k", "a", 0)).isEqualTo(ClaimState.GRANTED);
        assertThat(claim("k", "a", 1)).as("claim repeated after a lost reply").isEqualTo(ClaimState.GRANTED);
        assertThat(claim("k", "b", 2)).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(claim("k", "b", 60_000)).as("the entry proxy was killed").isEqualTo(ClaimState.UNKNOWN);
        table.conclude("k", "a", new ClaimConclusion.Answered(recordedResponse(9)), 60_001);
        assertThat(table.claim("k", "b", 7, 660_000)).isEqualTo(KeeperVote.answered(recordedResponse(9)));
        assertThat(table.claim("k", "b", 8, 660_000).state()).isEqualTo(ClaimState.MISMATCH);
        assertThat(claim("k", "b", 660_001)).as("after the retention time").isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void aFullTableRefusesNewKeysAndDropsNoRecordInTheRetentionTime() {
        for (int key = 0; key < 4; key++) {
            assertThat(claim("k" + key, "a", key)).isEqualTo(ClaimState.GRANTED);
        }
        assertThat(claim("k4", "a", 599_999)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k0", "b", 599_999)).isEqualTo(ClaimState.UNKNOWN);
        assertThat(claim("k4", "a", 600_000)).isEqualTo(ClaimState.GRANTED);
        table.conclude("k4", "a", new ClaimConclusion.Released(), 600_000);
        assertThat(claim("k5", "a", 600_001)).as("in place of the expired k1").isEqualTo(ClaimState.GRANTED);
        assertThat(claim("k6", "a", 600_001)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k6", "a", 601_001)).as("in place of the released key").isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void responsesBeyondTheLimitsAreRecordedAsUnknownOutcomes() {
        for (String key : List.of("large", "first", "second")) {
            claim(key, "a", 0);
            table.conclude(key, "a", new ClaimConclusion.Answered(recordedResponse(key.equals("large") ? 61 : 55)), 0);
        }
        assertThat(claim("large", "b", 1)).isEqualTo(ClaimState.UNKNOWN);
        assertThat(claim("first", "b", 1)).isEqualTo(ClaimState.ANSWERED);
        assertThat(claim("second", "b", 1)).as("total size of responses").isEqualTo(ClaimState.UNKNOWN);
    }

    /** Guards against a run of a released claim through a delayed message after its caller was told "not run". */
    @Test
    void aReleasedKeyIsNotGrantedDuringTheClaimTimeoutNorToItsOwnDelayedClaim() {
        claim("k", "a", 0);
        table.conclude("k", "a", new ClaimConclusion.Released(), 10);
        table.conclude("k2", "c", new ClaimConclusion.Released(), 10);
        assertThat(claim("k", "b", 1_009)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k", "a", 5_000)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k2", "c", 5_000)).as("claim after its release").isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k", "b", 1_010)).isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void aTableThatIsNotReadyVotesOnKnownKeysOnly() {
        claim("k", "a", 0);
        table.setReady(false);
        assertThat(claim("k", "b", 1)).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(claim("new", "b", 1)).isEqualTo(ClaimState.NOT_READY);
    }

    @Test
    void handedOverClaimsAreNeverGrantedAndConflictingClaimsAreBothKept() {
        ClaimTable receivingTable = readyTable();
        claim("k", "a", 0);
        assertThat(receivingTable.claim("k", "b", 7, 0).state()).isEqualTo(ClaimState.GRANTED);
        receivingTable.mergeRecords(table.records(5), 5);
        assertThat(receivingTable.claim("k", "a", 7, 6).state()).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(receivingTable.claim("k", "b", 7, 6).state()).isEqualTo(ClaimState.IN_PROGRESS);
        receivingTable.conclude("k", "b", new ClaimConclusion.Released(), 7);
        assertThat(receivingTable.claim("k", "c", 7, 5_000).state()).isEqualTo(ClaimState.IN_PROGRESS);
        assertThat(receivingTable.records(5_000))
                .extracting(ClaimRecord::claimId)
                .containsExactly("a");
        table.conclude("k", "a", new ClaimConclusion.Answered(recordedResponse(3)), 5_000);
        receivingTable.mergeRecords(table.records(5_001), 5_001);
        assertThat(receivingTable.claim("k", "c", 7, 5_002).state()).isEqualTo(ClaimState.ANSWERED);
        receivingTable.conclude("k", "a", new ClaimConclusion.Released(), 5_003);
        assertThat(receivingTable.claim("k", "c", 7, 5_004).state()).isEqualTo(ClaimState.ANSWERED);
    }

    @Test
    void recordsThatDoNotFitStopVotesOnUnknownKeysForTheRetentionTime() {
        List<ClaimRecord> many = IntStream.range(0, 9)
                .mapToObj(key -> new ClaimRecord("k" + key, "a", 0, ClaimState.UNKNOWN, 0, Optional.empty()))
                .toList();
        table.mergeRecords(many, 0);
        assertThat(table.size()).isEqualTo(8);
        assertThat(claim("k8", "b", 599_999)).isEqualTo(ClaimState.NOT_READY);
        assertThat(claim("k8", "b", 600_000)).isEqualTo(ClaimState.GRANTED);
    }

    @Test
    void aRequestProceedsOnlyWithTwoGrantsAndNoEarlierClaim() {
        ClaimState granted = ClaimState.GRANTED;
        ClaimState inProgress = ClaimState.IN_PROGRESS;
        assertThat(decide(granted, granted, granted)).isEqualTo(new ClaimDecision.Proceed());
        assertThat(decide(granted, null, granted)).isEqualTo(new ClaimDecision.Proceed());
        assertThat(decide(granted, ClaimState.NOT_READY, granted)).isEqualTo(new ClaimDecision.Proceed());
        assertThat(decide(granted, granted, inProgress)).isEqualTo(new ClaimDecision.NotRun("claim-split"));
        assertThat(decide(granted, inProgress, inProgress)).isEqualTo(new ClaimDecision.InProgress());
        assertThat(decide(granted, inProgress, null)).isEqualTo(new ClaimDecision.InProgress());
        assertThat(decide(granted, granted, ClaimState.UNKNOWN)).isEqualTo(new ClaimDecision.EarlierOutcomeUnknown());
        assertThat(decide(inProgress, ClaimState.UNKNOWN, ClaimState.ANSWERED))
                .isEqualTo(new ClaimDecision.Replay(recordedResponse(1)));
        assertThat(decide(granted, granted, ClaimState.MISMATCH)).isEqualTo(new ClaimDecision.Mismatch());
        assertThat(decide(granted, null, null)).isEqualTo(new ClaimDecision.NotRun("keepers-unreachable"));
        assertThat(decide(granted, ClaimState.NOT_READY, null))
                .isEqualTo(new ClaimDecision.NotRun("keepers-not-ready"));
    }

    /** Guards against records that remain at only two keepers after the third was killed. */
    @Test
    void bothSurvivorsOfAKilledKeeperSendEveryRecordToItsSuccessor() {
        List<Instance> proxiesBefore = IntStream.range(0, 12)
                .mapToObj(number -> Instance.of(
                        "proxy-" + number,
                        InstanceRole.PROXY,
                        "127.0.0.1:1",
                        "region",
                        "domain-" + number % 4,
                        InstanceState.LIVE))
                .toList();
        for (int key = 0; key < 200; key++) {
            List<Instance> keepers = ClaimHandover.keepers("k" + key, proxiesBefore);
            List<Instance> proxiesAfter = proxiesBefore.stream()
                    .filter(proxy -> !proxy.equals(keepers.getFirst()))
                    .toList();
            List<Instance> successors = ClaimHandover.keepers("k" + key, proxiesAfter);
            List<ClaimRecord> record =
                    List.of(new ClaimRecord("k" + key, "a", 0, ClaimState.UNKNOWN, 0, Optional.empty()));
            assertThat(successors).containsAll(keepers.subList(1, 3));
            for (Instance survivor : keepers.subList(1, 3)) {
                Map<String, List<ClaimRecord>> plan =
                        ClaimHandover.planHandover(survivor.name(), record, proxiesBefore, proxiesAfter);
                assertThat(successors)
                        .filteredOn(keeper -> !keepers.contains(keeper))
                        .extracting(Instance::name)
                        .containsExactlyElementsOf(plan.keySet());
            }
        }
    }

    /** Guards against claims under the newest list only, while other entry proxies still use an older one. */
    @Test
    void listsRemainInUseForTheWholeWindow() {
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
