package org.cassiabank.standin;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The gray faults of a backend stand-in as sent to {@code POST /control/faults}. Several can be on at once.
 *
 * @param fail the share of requests that run and are answered with status 500
 * @param slow the share of requests whose service time is multiplied by {@code slowFactor}
 * @param slowFactor the factor for slow requests, at least 1; 0 stands for 10
 * @param stall the share of requests that run and are never answered
 * @param cut the share of requests that run and whose response ends after half of its declared length
 * @param wrongAnswer the share of requests that run and get the response of another request
 * @param shed the share of requests that are shed although a slot may be free
 * @param flapMillis the period of flapping: faults are on in the first half of each period; 0 for always on
 * @param lie whether {@code /health} reports good health in any case
 * @param silence whether all connections that are open now go silent for good
 */
public record BackendFaults(
        double fail,
        double slow,
        double slowFactor,
        double stall,
        double cut,
        double wrongAnswer,
        double shed,
        long flapMillis,
        boolean lie,
        boolean silence) {

    /**
     * Checks that shares are between 0 and 1.
     */
    public BackendFaults {
        for (double share : new double[] {fail, slow, stall, cut, wrongAnswer, shed}) {
            if (!(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException("a share is not between 0 and 1: " + share);
            }
        }
        slowFactor = slowFactor == 0 ? 10 : slowFactor;
        if (!(slowFactor >= 1) || flapMillis < 0) {
            throw new IllegalArgumentException("slowFactor is below 1 or flapMillis is negative");
        }
    }

    /**
     * Returns the state without faults.
     *
     * @return no faults
     */
    public static BackendFaults none() {
        return new BackendFaults(0, 0, 0, 0, 0, 0, 0, 0, false, false);
    }

    /**
     * Tells whether the faults are on at a time.
     *
     * @param sinceSwitchMillis the time since the faults were switched on, in milliseconds
     * @return false only in the second half of a flapping period
     */
    public boolean isOn(long sinceSwitchMillis) {
        return flapMillis == 0 || sinceSwitchMillis % flapMillis < flapMillis / 2;
    }

    /**
     * Tells whether an honest health endpoint would report them.
     *
     * @return true if some requests fail, stall or break
     */
    @JsonIgnore
    public boolean isNoticeable() {
        return fail > 0 || stall > 0 || cut > 0 || wrongAnswer > 0 || slow > 0 || shed > 0;
    }
}
