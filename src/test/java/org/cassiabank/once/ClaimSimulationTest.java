package org.cassiabank.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against two runs of one key, and against telling a caller "not run" while a request with its key runs. Both
 * come about when entry proxies decide on votes of different sets of keepers, on outdated votes, or on votes of keepers
 * that have lost records.
 */
class ClaimSimulationTest {
    private static final List<String> CLAIM_IDS = List.of("first", "second", "third");

    @Property(tries = 1_000)
    void atMostOneClaimOfAKeyProceedsWhenOneKeeperAtATimeFails(@ForAll long seed) {
        ClaimSimulation simulation = new ClaimSimulation(seed, EnumSet.noneOf(ClaimSimulation.Deviation.class)).run();
        assertThat(simulation.anyKeyRanTwice())
                .as(() -> "trace: " + simulation.trace)
                .isFalse();
        assertThat(simulation.anyKeyRanDuringSplit())
                .as(() -> "trace: " + simulation.trace)
                .isFalse();
    }

    /** Shows that the simulation detects each broken rule and excessive fault; otherwise its passing proves nothing. */
    @ParameterizedTest
    @CsvSource({
        "COUNT_LATE_VOTES, 6208",
        "COLLECT_WITHOUT_DELAY, 7158",
        "COLLECT_NOTHING, 26",
        "ASK_NEWEST_KEEPERS_ONLY, 1535",
        "COLLECT_WITHOUT_ONE_DOMAIN, 629",
        "HAND_OVER_ONCE, 6082",
        "NO_HANDOVER, 13",
        "OVERLAPPING_KEEPER_FAILURES, 48",
        "SLOW_LIST_CHANGES, 1704"
    })
    void aKeyRunsTwiceWhenARuleIsBrokenOrAFaultExceedsTheLimits(ClaimSimulation.Deviation deviation, long seed) {
        assertThat(new ClaimSimulation(seed, EnumSet.of(deviation)).run().anyKeyRanTwice())
                .isTrue();
    }

    @Provide
    Arbitrary<List<String>> messageOrders() {
        return Arbitraries.shuffle(List.of(
                "first 0", "first 1", "first 2", "second 0", "second 1", "second 2", "third 0", "third 1", "third 2"));
    }

    /** Delivers the messages of three claims to three keepers in any order; each message names a claim and a keeper. */
    @Property(tries = 1_000)
    void withoutFailuresAtMostOneClaimProceedsAndTheFirstOneIfItIsDeliveredFirst(
            @ForAll("messageOrders") List<String> deliveries) {
        ClaimTable[] tables = new ClaimTable[3];
        for (int keeper = 0; keeper < 3; keeper++) {
            tables[keeper] = ClaimTable.create(ClaimSettings.defaults());
            tables[keeper].setReady(true);
        }
        Map<String, List<Optional<KeeperVote>>> votes = new HashMap<>();
        for (String delivery : deliveries) {
            String claimId = delivery.split(" ")[0];
            int keeper = Integer.parseInt(delivery.split(" ")[1]);
            votes.computeIfAbsent(claimId, name -> new ArrayList<>())
                    .add(Optional.of(tables[keeper].claim("k", claimId, 1, 0)));
        }
        List<ClaimDecision> decisions =
                CLAIM_IDS.stream().map(votes::get).map(ClaimQuorum::decide).toList();
        assertThat(decisions)
                .filteredOn(ClaimDecision.Proceed.class::isInstance)
                .hasSizeLessThan(2);
        for (String claimId : CLAIM_IDS) {
            if (deliveries.subList(0, 3).stream().allMatch(delivery -> delivery.startsWith(claimId))) {
                assertThat(decisions.get(CLAIM_IDS.indexOf(claimId))).isEqualTo(new ClaimDecision.Proceed());
                assertThat(decisions)
                        .filteredOn(new ClaimDecision.InProgress()::equals)
                        .hasSize(2);
            }
        }
    }
}
