package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A seeded open-loop schedule: requests arrive as a Poisson process, regardless of whether earlier ones have completed.
 *
 * @param arrivals the arrivals in the order of their times
 * @param durationMillis the duration in milliseconds
 */
public record ArrivalSchedule(List<Arrival> arrivals, long durationMillis) {

    /**
     * Copies the arrivals.
     *
     * @throws NullPointerException if the list or an arrival is null
     */
    public ArrivalSchedule {
        arrivals = List.copyOf(arrivals);
    }

    /**
     * Draws a schedule at random. The same arguments always result in the same schedule.
     *
     * @param seed the seed of the random generator
     * @param callers the number of callers, at least 1; all send the same share of the requests in the mean
     * @param phases the phases in the order of their times
     * @return the schedule
     * @throws IllegalArgumentException if the number of callers is below 1
     */
    public static ArrivalSchedule draw(long seed, int callers, List<Phase> phases) {
        if (callers < 1) {
            throw new IllegalArgumentException("callers must be at least 1");
        }
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        long phaseStartNanos = 0;
        for (Phase phase : phases) {
            long phaseEndNanos = phaseStartNanos + phase.durationMillis() * 1_000_000;
            double offsetNanos = phaseStartNanos + drawGapNanos(random, phase.requestsPerSecond());
            while (offsetNanos < phaseEndNanos) {
                RequestKind kind = drawKind(random, phase);
                double workMillis = kind.medianWorkMillis() * Math.exp(kind.workLogDeviation() * random.nextGaussian());
                arrivals.add(new Arrival(
                        arrivals.size(), (long) offsetNanos, phase, kind, random.nextInt(callers), workMillis));
                offsetNanos += drawGapNanos(random, phase.requestsPerSecond());
            }
            phaseStartNanos = phaseEndNanos;
        }
        return new ArrivalSchedule(arrivals, phaseStartNanos / 1_000_000);
    }

    private static double drawGapNanos(SplittableRandom random, double requestsPerSecond) {
        return -Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9;
    }

    private static RequestKind drawKind(SplittableRandom random, Phase phase) {
        double totalWeight =
                phase.mix().stream().mapToDouble(Phase.Share::weight).sum();
        double remainingWeight = random.nextDouble() * totalWeight;
        for (Phase.Share share : phase.mix()) {
            remainingWeight -= share.weight();
            if (remainingWeight < 0) {
                return share.kind();
            }
        }
        return phase.mix().getLast().kind();
    }
}
