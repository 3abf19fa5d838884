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

/** Guards against two runs of one key, and against a "not run" reply beside a run. */
class ClaimSimulationTest {
    private static final List<String> CLAIMS = List.of("first", "second", "third");

    @Property(tries = 1_000)
    void atMostOneClaimOfAKeyProceedsWhenOneKeeperAtATimeFails(@ForAll long seed) {
        ClaimSimulation simulation = new ClaimSimulation(seed, EnumSet.noneOf(ClaimSimulation.Option.class)).run();
        assertThat(simulation.ranTwice()).as(() -> "trace: " + simulation.trace).isFalse();
        assertThat(simulation.ranBesideSplit())
                .as(() -> "trace: " + simulation.trace)
                .isFalse();
    }

    /** Shows that the simulation finds each fault it is made for, so that its silence otherwise means something. */
    @ParameterizedTest
    @CsvSource({
        "COUNT_LATE_VOTES, 6208",
        "COLLECT_AT_ONCE, 7158",
        "COLLECT_NOTHING, 26",
        "ONE_SET_OF_KEEPERS, 1535",
        "COLLECT_WITHOUT_ONE_DOMAIN, 629",
        "HAND_OVER_ONCE, 6082",
        "NO_HANDOVER, 13",
        "TWO_LOSSES, 48",
        "SLOW_LISTS, 1704"
    })
    void aKeyRunsTwiceWhenARuleIsBrokenOrAFaultExceedsTheLimits(ClaimSimulation.Option option, long seed) {
        assertThat(new ClaimSimulation(seed, EnumSet.of(option)).run().ranTwice())
                .isTrue();
    }

    @Provide
    Arbitrary<List<String>> interleavings() {
        return Arbitraries.shuffle(List.of(
                "first 0", "first 1", "first 2", "second 0", "second 1", "second 2", "third 0", "third 1", "third 2"));
    }

    /** Messages are delivered in any order; each names a claim and a keeper. */
    @Property(tries = 1_000)
    void withoutFailuresTheFirstClaimProceedsAndAlwaysAtMostOne(@ForAll("interleavings") List<String> deliveries) {
        ClaimTable[] tables = new ClaimTable[3];
        for (int keeper = 0; keeper < 3; keeper++) {
            tables[keeper] = ClaimTable.create(ClaimSettings.defaults());
            tables[keeper].setReady(true);
        }
        Map<String, List<Optional<KeeperVote>>> votes = new HashMap<>();
        for (String delivery : deliveries) {
            String claim = delivery.split(" ")[0];
            int keeper = Integer.parseInt(delivery.split(" ")[1]);
            votes.computeIfAbsent(claim, name -> new ArrayList<>())
                    .add(Optional.of(tables[keeper].claim("k", claim, 1, 0)));
        }
        List<ClaimDecision> decisions =
                CLAIMS.stream().map(votes::get).map(ClaimQuorum::decide).toList();
        assertThat(decisions)
                .filteredOn(ClaimDecision.Proceed.class::isInstance)
                .hasSizeLessThan(2);
        for (String claim : CLAIMS) {
            if (deliveries.subList(0, 3).stream().allMatch(delivery -> delivery.startsWith(claim))) {
                assertThat(decisions.get(CLAIMS.indexOf(claim))).isEqualTo(new ClaimDecision.Proceed());
                assertThat(decisions)
                        .filteredOn(new ClaimDecision.InProgress()::equals)
                        .hasSize(2);
            }
        }
    }
}
