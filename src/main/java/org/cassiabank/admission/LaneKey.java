package org.cassiabank.admission;

import java.util.Map;
import java.util.Set;

/**
 * What decides which servers may take a request. Requests with equal keys can replace each other in a free slot.
 *
 * @param labels the labels that a server must carry
 * @param excluded the names of servers that must not be used
 * @param repeatable whether the request may run more than once
 * @param urgency the rank among requests that compete for slots; 0 is the most urgent
 */
record LaneKey(Map<String, String> labels, Set<String> excluded, boolean repeatable, int urgency) {

    static LaneKey of(AdmissionRequest request) {
        return new LaneKey(
                request.requiredLabels(), request.excludedServers(), request.repeatable(), request.urgencyRank());
    }
}
