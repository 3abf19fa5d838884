package org.cassiabank.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against callers that are told to stay away for a whole window although a lease is about to arrive. */
class QuotaParticipantTest {

    @Test
    void beforeTheFirstLeaseACallerMayReturnAfterTheTimeInWhichANewCoordinatorBeginsToGrant() {
        QuotaParticipant participant = QuotaParticipant.create("proxy-1", 1, QuotaBounds.defaults());
        participant.update(customer -> Optional.of(new CustomerLimit(4, 0)), 100);
        assertThat(participant.tryAcquire("desk", 0)).isInstanceOf(QuotaGranted.class);
        assertThat(participant.tryAcquire("desk", 0))
                .isEqualTo(new QuotaRefused(CustomerQuota.LEASE_MILLIS, QuotaRefusalCause.BEFORE_LEASE));
    }
}
