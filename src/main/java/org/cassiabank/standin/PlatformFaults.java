package org.cassiabank.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that the stand-in for the platform shows.
 *
 * @param outage whether every call of the store is answered with status 500
 * @param listOutage whether every read of the instance list is answered with status 500
 * @param hang whether calls of the store get no response
 * @param slowMillis additional time per call of the store, in milliseconds
 * @param loseWriteAnswers how many of the next writes take effect while their response is lost
 * @param listLagMillis age of the instance list that readers see, in milliseconds
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
