package org.cassiabank.health;

/** Counts of all samples and of the bad ones. */
final class SampleCounts {
    private long totalCount;
    private long badCount;

    void add(boolean isBad) {
        totalCount++;
        badCount += isBad ? 1 : 0;
    }

    void copyFrom(SampleCounts other) {
        totalCount = other.totalCount;
        badCount = other.badCount;
    }

    long totalCount() {
        return totalCount;
    }

    long badCount() {
        return badCount;
    }
}
