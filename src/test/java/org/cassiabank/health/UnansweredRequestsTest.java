package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a judgement by the order in which requests end, which is late for those that are never answered. */
class UnansweredRequestsTest {
    private static final double THRESHOLD = 1.8;

    private final UnansweredRequests requests = new UnansweredRequests();

    @Test
    void responsesToLaterRequestsOutweighRequestsThatEndAfterThem() {
        requests.recordResponse(2_000);
        requests.recordResponse(2_500);
        for (int overdue = 0; overdue < 6; overdue++) {
            requests.recordOverdue(100 * overdue);
        }
        assertThat(requests.score()).isLessThan(THRESHOLD);
    }

    @Test
    void requestsThatWereSentAfterTheLatestResponseCountInFull() {
        requests.recordResponse(0);
        requests.recordOverdue(100);
        requests.recordOverdue(200);
        assertThat(requests.score()).isGreaterThan(THRESHOLD);
    }

    @Test
    void requestsInFlightCountMoreTheFewerResponsesTakeAsLong() {
        assertThat(UnansweredRequests.scoreInFlight(1)).isZero();
        assertThat(UnansweredRequests.scoreInFlight(0.5)).isBetween(0.05, 0.2);
        assertThat(UnansweredRequests.scoreInFlight(0.05)).isBetween(0.5, 0.8);
        assertThat(UnansweredRequests.scoreInFlight(0)).isEqualTo(UnansweredRequests.OVERDUE_SCORE);
    }

    @Test
    void aRequestThatEndsIsNoLongerInFlight() {
        requests.recordInFlight(100, UnansweredRequests.OVERDUE_SCORE, 5_000);
        requests.recordOverdue(101);
        assertThat(requests.score()).isEqualTo(UnansweredRequests.OVERDUE_SCORE);
    }

    @Test
    void onlyTheLatestObservationOfTheRequestsInFlightCounts() {
        requests.recordInFlight(100, 0.5, 2_000);
        requests.recordInFlight(200, 0.4, 2_000);
        requests.recordInFlight(200, 0.7, 3_000);
        assertThat(requests.score()).isEqualTo(0.7);
    }

    @Test
    void requestsFromBeforeARestartAreForgottenWheneverTheyEnd() {
        requests.recordOverdue(100);
        requests.restart(1_000);
        requests.recordOverdue(200);
        requests.recordInFlight(999, UnansweredRequests.OVERDUE_SCORE, 6_000);
        assertThat(requests.score()).isZero();
        requests.recordOverdue(1_000);
        assertThat(requests.score()).isEqualTo(UnansweredRequests.OVERDUE_SCORE);
    }

    @Test
    void responsesAreCountedByTheTimeAtWhichTheirRequestsWereSent() {
        requests.recordResponse(100);
        requests.recordOverdue(300);
        requests.recordResponse(200);
        requests.recordResponse(400);
        assertThat(requests.responsesSentAfter(100)).isEqualTo(2);
        assertThat(requests.responsesSentAfter(400)).isZero();
    }
}
