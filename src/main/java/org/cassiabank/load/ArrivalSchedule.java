package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A seeded open-loop schedule: requests arrive as a Poisson process whether or not earlier ones were answered.
 *
 * @param arrivals the arrivals in the order of their times
 * @param millis the duration in milliseconds
 */
public record ArrivalSchedule(List<Arrival> arrivals, long millis) {

    /**
     * Copies the arrivals.
     */
    public ArrivalSchedule {
        arrivals = List.copyOf(arrivals);
    }

    /**
     * Draws a schedule. The same arguments give the same schedule.
     *
     * @param seed the seed
     * @param callers the number of callers, each of which sends the same share
     * @param phases the phases in order
     * @return the schedule
     */
    public static ArrivalSchedule draw(long seed, int callers, List<Phase> phases) {
        if (callers < 1) {
            throw new IllegalArgumentException("callers must be at least 1");
        }
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        long phaseStart = 0;
        for (Phase phase : phases) {
            long phaseEnd = phaseStart + phase.millis() * 1_000_000;
            double at = phaseStart + gapNanos(random, phase.rate());
            while (at < phaseEnd) {
                RequestKind kind = pick(random, phase);
                double work = kind.workMillis() * Math.exp(kind.workSpread() * random.nextGaussian());
                arrivals.add(new Arrival(arrivals.size(), (long) at, phase, kind, random.nextInt(callers), work));
                at += gapNanos(random, phase.rate());
            }
            phaseStart = phaseEnd;
        }
        return new ArrivalSchedule(arrivals, phaseStart / 1_000_000);
    }

    private static double gapNanos(SplittableRandom random, double rate) {
        return -Math.log(1 - random.nextDouble()) / rate * 1e9;
    }

    private static RequestKind pick(SplittableRandom random, Phase phase) {
        double sum = phase.mix().stream().mapToDouble(Phase.Share::weight).sum();
        double drawn = random.nextDouble() * sum;
        for (Phase.Share share : phase.mix()) {
            drawn -= share.weight();
            if (drawn < 0) {
                return share.kind();
            }
        }
        return phase.mix().getLast().kind();
    }
}
