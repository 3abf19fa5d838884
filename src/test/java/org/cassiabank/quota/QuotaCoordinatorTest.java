package org.cassiabank.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against callers that are told to stay away for a whole window by a coordinator that has just begun. */
class QuotaCoordinatorTest {

    @Test
    void aNewCoordinatorLetsCallersReturnWhenItBeginsToGrant() {
        QuotaCoordinator coordinator = QuotaCoordinator.create(QuotaBounds.defaults(), 1);
        coordinator.update(customer -> Optional.of(new CustomerLimit(4, 0)), Set.of("proxy-1", "proxy-2"));
        QuotaReport report = new QuotaReport(
                "proxy-2", 1, "proxy-1", 0, List.of(new QuotaUse("desk", 0, 1, 1, false, 5, 0.01, false)));
        List<QuotaLease> leases = coordinator.exchange(report, customer -> OptionalLong.of(0), 100);
        assertThat(leases).singleElement().satisfies(lease -> {
            assertThat(lease.ceiling()).isEqualTo(1);
            assertThat(lease.retryAfterMillis()).isLessThanOrEqualTo(CustomerQuota.LEASE_MILLIS);
        });
    }
}
