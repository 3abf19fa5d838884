package org.cassiabank.health;

/** A running count of samples. */
final class SampleCounts {
    private long total;
    private long bad;

    void add(boolean isBad) {
        total++;
        bad += isBad ? 1 : 0;
    }

    void set(SampleCounts other) {
        total = other.total;
        bad = other.bad;
    }

    long total() {
        return total;
    }

    long bad() {
        return bad;
    }
}
