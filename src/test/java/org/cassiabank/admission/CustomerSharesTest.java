package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.RequestDigest;
import org.junit.jupiter.api.Test;

/** Guards against a customer without recent arrivals that counts as one without any share. */
class CustomerSharesTest {
    private static final long AFTER_FORGETTING_MILLIS = 60_000;

    private final CustomerShares shares = new CustomerShares();

    @Test
    void aGrantToACustomerWhoseArrivalsAreForgottenCountsWithItsWeight() {
        shares.recordArrival(request("patient"), 1_000, 0);
        shares.recordArrival(request("busy"), 5_000, AFTER_FORGETTING_MILLIS);
        shares.recordGrant(request("busy"), 5_000, AFTER_FORGETTING_MILLIS);
        shares.recordGrant(request("patient"), 1_000, AFTER_FORGETTING_MILLIS);
        assertThat(shares.isOverShare("patient")).isFalse();
        assertThat(shares.isOverShare("busy")).isTrue();
        assertThat(shares.availableSlots("patient", 0, 10, AFTER_FORGETTING_MILLIS))
                .isGreaterThanOrEqualTo(5);
    }

    @Test
    void theOnlyCustomerHasAllSlotsAlsoAfterItsArrivalsAreForgotten() {
        shares.recordArrival(request("patient"), 1_000, 0);
        shares.recordGrant(request("patient"), 1_000, AFTER_FORGETTING_MILLIS);
        assertThat(shares.availableSlots("patient", 0, 10, AFTER_FORGETTING_MILLIS))
                .isEqualTo(10);
    }

    private static AdmissionRequest request(String customer) {
        return new AdmissionRequest(
                "entry",
                "order",
                "order",
                customer,
                CostHint.SHORT,
                true,
                0,
                5_000,
                1_000,
                Set.of(),
                Map.of(),
                new PlacementHints(1, "", Set.of()),
                RequestDigest.none());
    }
}
