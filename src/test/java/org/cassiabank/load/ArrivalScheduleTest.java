package org.cassiabank.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against schedules that differ between runs with the same seed, and against arrival rates and mixes of request
 * kinds that differ from those of the phases. Results of experiments could then not be reproduced or compared.
 */
class ArrivalScheduleTest {
    private static final RequestKind SHORT = RequestKind.shortRead(10);
    private static final RequestKind LONG = RequestKind.longRead(1_000);

    @Property(tries = 20)
    void theSameSeedGivesTheSameSchedule(@ForAll long seed, @ForAll @IntRange(min = 1, max = 50) int callers) {
        List<Phase> phases = List.of(Phase.of("a", 500, 200, SHORT), Phase.of("b", 500, 50, LONG));
        assertThat(ArrivalSchedule.draw(seed, callers, phases)).isEqualTo(ArrivalSchedule.draw(seed, callers, phases));
    }

    @Property(tries = 20)
    void arrivalsAreOrderedByTimeAndLieWithinTheirPhases(@ForAll long seed) {
        Phase quiet = Phase.of("quiet", 1_000, 50, SHORT);
        Phase overload = Phase.of("crest", 1_000, 500, SHORT);
        ArrivalSchedule schedule = ArrivalSchedule.draw(seed, 7, List.of(quiet, overload));
        assertThat(schedule.durationMillis()).isEqualTo(2_000);
        assertThat(schedule.arrivals()).isSortedAccordingTo((a, b) -> Long.compare(a.offsetNanos(), b.offsetNanos()));
        assertThat(schedule.arrivals()).allSatisfy(arrival -> {
            boolean inFirstPhase = arrival.offsetNanos() < 1_000_000_000;
            assertThat(arrival.phase()).isEqualTo(inFirstPhase ? quiet : overload);
            assertThat(arrival.callerNumber()).isBetween(0, 6);
        });
    }

    @Test
    void arrivalRateAndKindSharesMatchThePhase() {
        Phase phase =
                new Phase("mixed", 100_000, 100, List.of(new Phase.Share(SHORT, 0.9), new Phase.Share(LONG, 0.1)));
        ArrivalSchedule schedule = ArrivalSchedule.draw(5, 10, List.of(phase));
        long longArrivals = schedule.arrivals().stream()
                .filter(arrival -> arrival.kind() == LONG)
                .count();
        // The bounds are five standard deviations of Poisson distributions with the means 10,000 and 1,000.
        assertThat(schedule.arrivals()).hasSizeBetween(9_500, 10_500);
        assertThat(longArrivals).isBetween(840L, 1_160L);
    }
}
