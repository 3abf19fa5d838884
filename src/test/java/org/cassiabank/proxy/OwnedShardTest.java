package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.PlacementHints;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.HealthSettings;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.health.SuspicionSettings;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.source.RetryBudgetSettings;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that keeps a restarted server ejected for the failures of its former process, ignores the
 * slots that a server declares, or grants more retries than the fleet's budget.
 */
class OwnedShardTest {
    private static final ShardKey KEY = new ShardKey("desk", 0);
    private static final OwnerSettings SETTINGS = new OwnerSettings(
            SchedulerSettings.defaults(),
            HealthSettings.defaults().withSuspicion(SuspicionSettings.of(60_000)),
            Optional.of(new RetryBudgetSettings(0, 10, 10_000)),
            0);

    private final OwnedShard shard =
            OwnedShard.create(KEY, SETTINGS, newFatalRequests(), ProxyMetrics.create(), view(1, 1), nowMillis());

    @Test
    void slotsThatAServerDeclaresOverrideTheSlotsOfItsService() {
        for (int request = 0; request < 6; request++) {
            assertThat(acquire(1)).isInstanceOf(Granted.class);
        }
        assertThat(acquire(1)).isNotInstanceOf(Granted.class);
    }

    @Test
    void serverThatRestartsUnderItsNameIsHealthyAgain() {
        Granted granted = (Granted) acquire(1);
        shard.completeLease(granted.leaseId(), AttemptOutcome.BROKEN, 5_000, ServerNotice.none());
        assertThat(shard.healthByServer()).containsEntry(granted.serverName(), ServerHealth.EJECTED);
        shard.updateView(view(2, 1), nowMillis());
        assertThat(shard.healthByServer()).containsEntry(granted.serverName(), ServerHealth.EJECTED);
        shard.updateView(view(3, 2), nowMillis());
        assertThat(shard.healthByServer()).containsEntry(granted.serverName(), ServerHealth.HEALTHY);
    }

    @Test
    void retriesBeyondTheBudgetAreRefusedAndFirstAttemptsAreNot() {
        int grantedCount = 0;
        SlotDecision decision = null;
        for (int retry = 0; retry < 10; retry++) {
            decision = acquire(2);
            if (decision instanceof Granted slot) {
                grantedCount++;
                shard.completeLease(slot.leaseId(), AttemptOutcome.ANSWERED, 1_000, ServerNotice.none());
            }
        }
        assertThat(grantedCount).isBetween(1, 5);
        assertThat(((Refused) decision).reason()).isEqualTo(RefusalReason.RETRY_BUDGET);
        assertThat(acquire(1)).isInstanceOf(Granted.class);
    }

    @Test
    void aShardIsNotRemovedWhileALeaseRuns() {
        Granted granted = (Granted) acquire(1);
        // A lease may run for 30 minutes; a new shard would not count its slot as occupied.
        assertThat(shard.retireIfIdleSince(nowMillis() + 3_600_000)).isFalse();
        shard.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, 1_000, ServerNotice.none());
        assertThat(shard.retireIfIdleSince(nowMillis() + 3_600_000)).isTrue();
    }

    @Test
    void aShardThatHasBeenRemovedGrantsNothing() {
        assertThat(shard.retireIfIdleSince(nowMillis() + 3_600_000)).isTrue();
        assertThat(shard.acquire(request(1), 0)).isEmpty();
    }

    @Test
    void aQueuedRequestStaysQueuedWhenAllServersRestartAtOnce() {
        for (int request = 0; request < 6; request++) {
            acquire(1);
        }
        SlotDecision queued = acquire(1);
        assertThat(queued).isInstanceOf(Queued.class);
        shard.updateView(view(2, 2, 2), nowMillis());
        SlotDecision decision =
                shard.acquire(request(1), ((Queued) queued).ticketId()).orElseThrow();
        assertThat(decision).isNotInstanceOf(Refused.class);
    }

    private static FatalRequestExchange newFatalRequests() {
        return FatalRequestExchange.create(
                FleetState.create("region"),
                PeerTransport.create(
                        "proxy-1", PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp())),
                ProxyMetrics.create());
    }

    private SlotDecision acquire(int attemptNumber) {
        return shard.acquire(request(attemptNumber), 0).orElseThrow();
    }

    private static AdmissionRequest request(int attemptNumber) {
        return new AdmissionRequest(
                "entry",
                "order",
                "order",
                "customer",
                CostHint.LEARNED,
                false,
                0,
                10_000,
                0,
                Set.of(),
                Map.of(),
                new PlacementHints(attemptNumber, "domain", Set.of()),
                RequestDigest.none());
    }

    private static FleetView view(long index, long incarnation) {
        return view(index, incarnation, 1);
    }

    private static FleetView view(long index, long incarnation, long secondIncarnation) {
        Configuration configuration =
                Configuration.empty().withEntities(1, List.of(new ServiceDeclaration("desk", 1, 0, 1_000)));
        return FleetView.empty("region")
                .withConfiguration(configuration)
                .withInstances(
                        InstanceList.of(index, List.of(server("a", incarnation), server("b", secondIncarnation))));
    }

    private static Instance server(String name, long incarnation) {
        return new Instance(
                name,
                InstanceRole.BACKEND,
                "127.0.0.1:80",
                "region",
                "domain",
                InstanceState.LIVE,
                Map.of("service", "desk"),
                3,
                incarnation);
    }

    private static long nowMillis() {
        return MonotonicClock.millis();
    }
}
