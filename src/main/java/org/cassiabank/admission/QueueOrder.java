package org.cassiabank.admission;

import java.util.LinkedHashSet;
import java.util.SequencedSet;

/**
 * What the lanes of one queue have in common: the time, whether the rules of fair admission are in force, and the
 * customers whose requests are served first.
 */
final class QueueOrder {
    private final SequencedSet<Flow> starvedFlows = new LinkedHashSet<>();
    private boolean fair;
    private long nowMillis;

    boolean isFair() {
        return fair;
    }

    void setFair(boolean value) {
        fair = value;
        if (!fair) {
            starvedFlows.clear();
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    void advanceTo(long newNowMillis) {
        nowMillis = newNowMillis;
    }

    /** Returns the customers that are served before the others, the longest starved first. */
    SequencedSet<Flow> starvedFlows() {
        return starvedFlows;
    }
}
