package org.cassiabank.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that the stand-in for the platform injects, as the JSON document of {@code POST /control/faults}.
 *
 * @param outage whether every call to the store gets status 500
 * @param listOutage whether every read of the instance list gets status 500
 * @param hang whether calls to the store get no response for 1 minute
 * @param slowMillis additional time per call to the store, in milliseconds
 * @param loseWriteAnswers the number of next writes that are stored but get status 500
 * @param listLagMillis minimum age of the instance list that readers get, in milliseconds
 */
record PlatformFaults(
        @JsonProperty("outage") boolean outage,
        @JsonProperty("listOutage") boolean listOutage,
        @JsonProperty("hang") boolean hang,
        @JsonProperty("slowMillis") long slowMillis,
        @JsonProperty("loseWriteAnswers") int loseWriteAnswers,
        @JsonProperty("listLagMillis") long listLagMillis) {

    static PlatformFaults none() {
        return new PlatformFaults(false, false, false, 0, 0, 0);
    }
}
