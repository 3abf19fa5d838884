package org.cassiabank.quota;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Guards against refusals of a customer that keeps to its limit while its demand moves from daemon to daemon. */
class MovingDemandPropertyTest {

    @Property(tries = 100)
    void aCustomerBelowItsLimitIsRefusedAlmostNothingWhenItsDemandMoves(
            @ForAll @IntRange(min = 2, max = 30) int daemons,
            @ForAll @DoubleRange(min = 2, max = 300) double requestsPerSecond,
            @ForAll @DoubleRange(min = 0.1, max = 0.8) double load,
            @ForAll @IntRange(min = 2_000, max = 10_000) int stayMillis,
            @ForAll long seed) {
        QuotaSimulation simulation = new QuotaSimulation(daemons, new CustomerLimit(requestsPerSecond, 0), seed);
        for (int move = 0; move < 10; move++) {
            simulation.run(stayMillis, load * requestsPerSecond, move * 7, 1);
        }
        assertThat((double) simulation.refused).isLessThanOrEqualTo(3 + 0.02 * simulation.granted);
    }
}
