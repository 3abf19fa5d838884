package org.cassiabank.admission;

import java.util.Objects;

/**
 * A shard that can run a request.
 *
 * @param number the number of the shard
 * @param failureDomain the failure domain of its servers, empty if they are of several
 * @param servers the number of its servers that can run the request, which stands for its size until its usable slots
 *     are known
 */
public record ShardCandidate(int number, String failureDomain, int servers) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the failure domain is null
     * @throws IllegalArgumentException if the number of servers is negative
     */
    public ShardCandidate {
        Objects.requireNonNull(failureDomain, "failureDomain");
        if (servers < 0) {
            throw new IllegalArgumentException("number of servers must not be negative: " + servers);
        }
    }
}
