package org.cassiabank.standin;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The gray faults of a backend stand-in, as the JSON document of {@code /control/faults}. Several faults can be on at
 * once. A share is a probability per request.
 *
 * @param fail the share of requests that run and get a response with status 500
 * @param slow the share of requests whose service time is multiplied by {@code slowFactor}
 * @param slowFactor the factor of the service time of slow requests, at least 1; 0 stands for 10
 * @param stall the share of requests that start but never get a response
 * @param cut the share of requests that run and whose response ends after half of its declared length
 * @param wrongAnswer the share of requests that run and get a response with the request id and token of another request
 * @param shed the share of requests that are shed although a slot may be free
 * @param flapMillis the period of flapping in milliseconds, at least 0: faults are on in the first half of each
 *     period; 0 for always on
 * @param lie whether {@code /health} reports good health despite other faults or draining
 * @param rateLimit the requests a second that the server names as its limit in all responses; 0 for no limit
 * @param silence whether all connections except that of the control request transfer no more bytes, for good
 * @param leaving whether all responses announce that the server is leaving, whatever the platform reports
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
        double rateLimit,
        boolean silence,
        boolean leaving) {

    /**
     * Checks the components and replaces a {@code slowFactor} of 0 by 10.
     *
     * @throws IllegalArgumentException if a share is not between 0 and 1, {@code slowFactor} is below 1 or
     *     {@code flapMillis} is negative
     */
    public BackendFaults {
        for (double share : new double[] {fail, slow, stall, cut, wrongAnswer, shed}) {
            if (!(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException("a share is not between 0 and 1: " + share);
            }
        }
        slowFactor = slowFactor == 0 ? 10 : slowFactor;
        if (!(slowFactor >= 1) || flapMillis < 0 || !(rateLimit >= 0)) {
            throw new IllegalArgumentException("slowFactor is below 1, or flapMillis or rateLimit is negative");
        }
    }

    /**
     * Returns the document in which no fault is on.
     *
     * @return all shares 0 and all flags false
     */
    public static BackendFaults none() {
        return new BackendFaults(0, 0, 0, 0, 0, 0, 0, 0, false, 0, false, false);
    }

    /**
     * Returns whether the faults are on at a time after they were set.
     *
     * @param sinceSwitchMillis the time since the faults were set, in milliseconds, at least 0
     * @return false only in the second half of a flapping period
     */
    public boolean isOn(long sinceSwitchMillis) {
        return flapMillis == 0 || sinceSwitchMillis % flapMillis < flapMillis / 2;
    }

    /**
     * Returns whether {@code /health} reports the faults unless {@code lie} is set.
     *
     * @return true if at least one share is above 0
     */
    @JsonIgnore
    public boolean isNoticeable() {
        return fail > 0 || stall > 0 || cut > 0 || wrongAnswer > 0 || slow > 0 || shed > 0;
    }
}
