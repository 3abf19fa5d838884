package org.cassiabank.admission;

import java.util.LinkedHashSet;
import java.util.SequencedSet;

/**
 * What the lanes of one queue have in common: whether the rules of fair admission are in force, and the customers whose
 * requests are served first.
 */
final class QueueOrder {
    private final SequencedSet<Flow> starvedFlows = new LinkedHashSet<>();
    private boolean fair;

    boolean isFair() {
        return fair;
    }

    void setFair(boolean value) {
        fair = value;
        if (!fair) {
            starvedFlows.clear();
        }
    }

    /** Returns the customers that are served before the others, the longest starved first. */
    SequencedSet<Flow> starvedFlows() {
        return starvedFlows;
    }
}
