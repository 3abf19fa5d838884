package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.cassiabank.declaration.CustomerDeclaration;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.quota.CustomerLimit;
import org.cassiabank.quota.QuotaBounds;
import org.cassiabank.quota.QuotaGranted;
import org.cassiabank.quota.QuotaLease;
import org.cassiabank.quota.QuotaRefused;
import org.cassiabank.quota.QuotaReport;
import org.cassiabank.quota.QuotaUse;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon that limits customers without a limit, grants a customer more than its window allows, or
 * loses the fields of a report on the way to the coordinator.
 */
class QuotaExchangeTest {
    private static final Instance SELF =
            Instance.of("proxy-1", InstanceRole.PROXY, "127.0.0.1:1", "region", "zone", InstanceState.LIVE);

    private final FleetState fleet = FleetState.create("region");
    private final QuotaExchange quotas = QuotaExchange.create(
            SELF,
            fleet,
            PeerTransport.create(
                    SELF.name(), PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp())),
            ProxyMetrics.create(),
            QuotaBounds.defaults(),
            1);

    @AfterEach
    void stopQuotas() {
        quotas.stop();
    }

    @Test
    void withoutACustomerThatHasALimitNothingIsCharged() {
        declare(0);
        assertThat(quotas.tryAcquire("desk")).isEqualTo(new QuotaGranted(false));
        assertThat(quotas.tryAcquire("unknown")).isEqualTo(new QuotaGranted(false));
    }

    @Test
    void aCustomerAboveItsLimitIsRefusedWithARetryTimeAndAnotherIsNot() throws InterruptedException {
        declare(4);
        int granted = 0;
        long endMillis = MonotonicClock.millis() + 2_000;
        QuotaRefused refused = null;
        while (MonotonicClock.millis() < endMillis) {
            switch (quotas.tryAcquire("desk")) {
                case QuotaGranted charged -> granted++;
                case QuotaRefused refusal -> refused = refusal;
            }
            Thread.sleep(5);
        }
        assertThat(granted).isBetween(10, (int) QuotaBounds.defaults().maximumRequests(limit()));
        assertThat(refused.retryAfterMillis()).isBetween(1L, 5_000L);
        assertThat(quotas.tryAcquire("unknown")).isEqualTo(new QuotaGranted(false));
    }

    @Test
    void reportsAndLeasesSurviveTheirMessages() {
        QuotaReport report = new QuotaReport(
                "proxy-2", 5, SELF.name(), 0, List.of(new QuotaUse("desk", 4, 30, 20, true, 3, 0.25, true)));
        assertThat(QuotaMessages.toReport(QuotaMessages.toMessage(report), SELF.name()))
                .isEqualTo(report);
        QuotaLease lease = new QuotaLease("desk", 7, 40, true, 1_500, 0.5, 400);
        assertThat(QuotaMessages.toLeases(List.of(QuotaMessages.toMessage(lease))))
                .containsExactly(lease);
    }

    private static CustomerLimit limit() {
        return new CustomerLimit(4, 0);
    }

    private void declare(double requestsPerSecond) {
        fleet.apply(List.of(new Change(
                1,
                "customers",
                List.of(new PutEdit(
                        new CustomerDeclaration("desk", Set.of(), OptionalInt.empty(), requestsPerSecond, 0), 0)))));
        fleet.install(InstanceList.of(1, List.of(SELF)));
    }
}
