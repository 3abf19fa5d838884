package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.PlacementHints;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RateLimitNotice;
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
import org.cassiabank.membership.ServerStart;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.quota.QuotaDecision;
import org.cassiabank.quota.QuotaGranted;
import org.cassiabank.quota.QuotaRefusalCause;
import org.cassiabank.quota.QuotaRefused;
import org.cassiabank.source.RetryBudgetSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an owner that keeps a restarted server ejected for the failures of its former process, ignores the
 * slots that a server declares, or grants more retries than the fleet's budget.
 */
class OwnedShardTest {
    private static final ShardKey KEY = new ShardKey("desk", 0);
    private static final ServerNotice LEAVING = new ServerNotice(true, new RateLimitNotice.Unknown());
    private static final OwnerSettings SETTINGS = new OwnerSettings(
            SchedulerSettings.defaults(),
            HealthSettings.defaults().withSuspicion(SuspicionSettings.of(60_000)),
            Optional.of(new RetryBudgetSettings(0, 10, 10_000)),
            0);

    private final KnownLeavingServers leavingServers =
            KnownLeavingServers.create(FleetState.create("region"), ProxyMetrics.create());
    private final OwnedShard shard = OwnedShard.create(
            KEY,
            SETTINGS,
            newFatalRequests(),
            leavingServers,
            ProxyMetrics.create(),
            QuotaGate.unlimited(),
            view(1, 1),
            nowMillis());

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
    void onlyFirstAttemptsAreChargedAndRefusedRequestsAreGivenBack() {
        AtomicInteger charged = new AtomicInteger();
        QuotaGate gate = new QuotaGate() {
            @Override
            public QuotaDecision tryAcquire(String customer) {
                return charged.get() < 1 ? chargeOne() : new QuotaRefused(700, QuotaRefusalCause.USED_LEASE);
            }

            private QuotaDecision chargeOne() {
                charged.incrementAndGet();
                return new QuotaGranted(true);
            }

            @Override
            public void release(String customer) {
                charged.decrementAndGet();
            }
        };
        OwnedShard limited = OwnedShard.create(
                KEY,
                SETTINGS,
                newFatalRequests(),
                leavingServers,
                ProxyMetrics.create(),
                gate,
                view(1, 1),
                nowMillis());
        Set<String> allServers = limited.healthByServer().keySet();
        SlotDecision unservable =
                limited.acquire(request(1, RequestDigest.none(), allServers), 0).orElseThrow();
        assertThat(unservable).isInstanceOf(Refused.class);
        assertThat(charged).hasValue(0);
        assertThat(limited.acquire(request(1, RequestDigest.none(), Set.of()), 0)
                        .orElseThrow())
                .isInstanceOf(Granted.class);
        assertThat(limited.acquire(request(1, RequestDigest.none(), Set.of()), 0))
                .contains(new Refused(RefusalReason.QUOTA, 700));
        assertThat(limited.acquire(request(2, RequestDigest.none(), Set.of()), 0)
                        .orElseThrow())
                .isInstanceOf(Granted.class);
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

    @ParameterizedTest
    @CsvSource({"BROKEN, true", "SPOILED, false"})
    void onlyBrokenConnectionsMakeARequestOneThatEndsServers(AttemptOutcome outcome, boolean refused) {
        RequestDigest digest = RequestDigest.of("caller", "", "GET", "/menu", new byte[0]);
        FleetView threeServers = view(2, List.of(server("a", 1), server("b", 1), server("c", 1)));
        shard.updateView(threeServers, nowMillis());
        Set<String> reachedServers = new HashSet<>();
        for (int attempt = 0; attempt < 3; attempt++) {
            Granted granted = (Granted)
                    shard.acquire(request(1, digest, reachedServers), 0).orElseThrow();
            reachedServers.add(granted.serverName());
            shard.completeLease(granted.leaseId(), outcome, 5_000, ServerNotice.none());
        }
        assertThat(reachedServers).hasSize(3);
        // Servers that restarted are in use again, so that only the request can be the reason of a refusal.
        shard.updateView(view(3, List.of(server("a", 2), server("b", 2), server("c", 2))), nowMillis());
        assertThat(shard.acquire(request(1, digest, Set.of()), 0).orElseThrow() instanceof Refused)
                .isEqualTo(refused);
    }

    @Test
    void aServerThatAnnouncedItsLeavingGetsNothingUntilAnotherStartOfItIsListed() {
        Granted granted = (Granted) acquire(1);
        shard.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, 1_000, LEAVING);
        assertThat(serversOfNextGrants()).doesNotContain(granted.serverName());
        // The entry lapses and comes back, as it does when the store was away.
        shard.updateView(view(2, List.of()), nowMillis());
        shard.updateView(view(3, 1), nowMillis());
        assertThat(serversOfNextGrants()).doesNotContain(granted.serverName());
        shard.updateView(view(4, List.of()), nowMillis());
        shard.updateView(view(5, 2, 2), nowMillis());
        assertThat(serversOfNextGrants()).contains(granted.serverName());
    }

    @Test
    void anAnnouncementOfAFormerStartThatIsReportedLateDoesNotHoldTheNextOneBack() throws InterruptedException {
        Granted granted = (Granted) acquire(1);
        TimeUnit.MILLISECONDS.sleep(5);
        shard.updateView(view(2, List.of()), nowMillis());
        shard.updateView(view(3, 2, 2), nowMillis());
        shard.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, 1_000, LEAVING);
        assertThat(serversOfNextGrants()).contains(granted.serverName());
    }

    @Test
    void aServerThatAPeerKnowsToBeLeavingGetsNothing() {
        leavingServers.merge(List.of(new ServerStart("a", 1), new ServerStart("b", 7)), "proxy-2");
        shard.updateServers();
        assertThat(serversOfNextGrants()).containsExactly("b");
    }

    @Test
    void ifAllServersAnnouncedTheirLeavingRequestsAreRefusedAtOnce() {
        SlotDecision queued = null;
        for (int request = 0; request < 6; request++) {
            acquire(1);
        }
        queued = acquire(1);
        assertThat(queued).isInstanceOf(Queued.class);
        leavingServers.merge(List.of(new ServerStart("a", 1), new ServerStart("b", 1)), "proxy-2");
        shard.updateServers();
        assertThat(acquire(1)).isInstanceOfSatisfying(Refused.class, refused -> assertThat(refused.retryAfterMillis())
                .isPositive());
        assertThat(shard.acquire(request(1), ((Queued) queued).ticketId()))
                .get()
                .isInstanceOf(Refused.class);
    }

    /** Acquires and releases six slots and returns the names of their servers. */
    private Set<String> serversOfNextGrants() {
        Set<String> names = new HashSet<>();
        List<Granted> grants = new ArrayList<>();
        for (int request = 0; request < 6; request++) {
            if (acquire(1) instanceof Granted granted) {
                grants.add(granted);
                names.add(granted.serverName());
            }
        }
        grants.forEach(
                granted -> shard.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, 1_000, ServerNotice.none()));
        return names;
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
        return request(attemptNumber, RequestDigest.none(), Set.of());
    }

    private static AdmissionRequest request(int attemptNumber, RequestDigest digest, Set<String> excludedServers) {
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
                excludedServers,
                Map.of(),
                new PlacementHints(attemptNumber, "domain", Set.of()),
                digest);
    }

    private static FleetView view(long index, long incarnation) {
        return view(index, incarnation, 1);
    }

    private static FleetView view(long index, long incarnation, long secondIncarnation) {
        return view(index, List.of(server("a", incarnation), server("b", secondIncarnation)));
    }

    private static FleetView view(long index, List<Instance> servers) {
        Configuration configuration =
                Configuration.empty().withEntities(1, List.of(new ServiceDeclaration("desk", 1, 0, 1_000)));
        return FleetView.empty("region")
                .withConfiguration(configuration)
                .withInstances(InstanceList.of(index, servers));
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
