package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against work for each request that grows with all urgencies of customers and selectors that were ever seen.
 */
class UrgencySharesTest {
    private final UrgencyShares shares = new UrgencyShares();

    @Test
    void ranksWithoutRecentRequestsAreForgotten() {
        for (int rank = 0; rank < 1_000; rank++) {
            shares.recordArrival(rank, 1_000, 0);
            shares.recordGrant(rank, 0);
        }
        shares.recordArrival(7, 1_000, 60_000);
        assertThat(shares.countedRanks()).isEqualTo(1);
        assertThat(shares.availableSlots(10, 8, 60_000)).isLessThan(10);
    }

    @Test
    void aRankWithRecentRequestsStaysStarved() {
        for (int request = 0; request < 8; request++) {
            shares.recordArrival(0, 1_000, 0);
            shares.recordGrant(0, 0);
            shares.recordArrival(1, 1_000, 0);
        }
        assertThat(shares.isStarved(1, 1_000)).isTrue();
    }
}
