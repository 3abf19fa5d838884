package org.cassiabank.admission;

import java.util.Map;
import java.util.Set;

/**
 * The properties of a request that determine which servers may run it and when. Requests with equal keys can use the
 * same free slots.
 *
 * @param requiredLabels the labels that a server must carry
 * @param excludedServers the names of servers that must not be used
 * @param repeatable whether the request may run more than once
 * @param urgencyRank the rank among requests that compete for slots; 0 is the most urgent
 */
record LaneKey(Map<String, String> requiredLabels, Set<String> excludedServers, boolean repeatable, int urgencyRank) {

    static LaneKey of(AdmissionRequest request) {
        return new LaneKey(
                request.requiredLabels(), request.excludedServers(), request.repeatable(), request.urgencyRank());
    }
}
