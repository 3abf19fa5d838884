package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.admission.EntryHints;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.admission.SlotAsk;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.health.HealthSettings;
import org.cassiabank.health.Outcome;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.health.SuspicionSettings;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.OperatingBounds;
import org.junit.jupiter.api.Test;

/** Guards against an owner that holds a server's past against its next start, or lets retries exceed the bound. */
class OwnedShardTest {
    private static final ShardKey KEY = new ShardKey("desk", 0);
    private static final OwnerSettings SETTINGS = new OwnerSettings(
            SchedulerSettings.defaults(),
            HealthSettings.defaults().withSuspicion(SuspicionSettings.of(60_000)),
            Optional.of(new OperatingBounds(0, 10, 10_000)));

    private final OwnedShard shard = OwnedShard.create(KEY, SETTINGS, ProxyMetrics.create(), view(1, 1), now());

    @Test
    void theSlotsThatAServerStatesGoBeforeThoseOfItsService() {
        for (int request = 0; request < 6; request++) {
            assertThat(shard.acquire(ask(1), 0)).isInstanceOf(Granted.class);
        }
        assertThat(shard.acquire(ask(1), 0)).isNotInstanceOf(Granted.class);
    }

    @Test
    void aServerThatStartsAgainUnderItsNameIsNotSuspectAnyMore() {
        Granted granted = (Granted) shard.acquire(ask(1), 0);
        shard.finish(granted.lease(), Outcome.BROKEN, 5_000, false);
        assertThat(shard.healths()).containsEntry(granted.server(), ServerHealth.EJECTED);
        shard.updateView(view(2, 1), now());
        assertThat(shard.healths()).containsEntry(granted.server(), ServerHealth.EJECTED);
        shard.updateView(view(3, 2), now());
        assertThat(shard.healths()).containsEntry(granted.server(), ServerHealth.HEALTHY);
    }

    @Test
    void repeatsBeyondTheBudgetAreRefusedAndFirstAttemptsAreNot() {
        int granted = 0;
        SlotDecision decision = null;
        for (int repeat = 0; repeat < 10; repeat++) {
            decision = shard.acquire(ask(2), 0);
            if (decision instanceof Granted slot) {
                granted++;
                shard.finish(slot.lease(), Outcome.ANSWERED, 1_000, false);
            }
        }
        assertThat(granted).isBetween(1, 5);
        assertThat(((Refused) decision).reason()).isEqualTo(RefusalReason.RETRY_BUDGET);
        assertThat(shard.acquire(ask(1), 0)).isInstanceOf(Granted.class);
    }

    private static SlotAsk ask(int attempt) {
        return new SlotAsk(
                "entry",
                "order",
                "order",
                "caller",
                CostHint.LEARNED,
                false,
                0,
                10_000,
                0,
                Set.of(),
                Map.of(),
                new EntryHints(attempt, "domain", Set.of()));
    }

    private static FleetView view(long index, long incarnation) {
        Configuration configuration =
                Configuration.empty().replacedBy(1, List.of(new ServiceDeclaration("desk", 1, 0, 1_000)));
        return FleetView.empty("region")
                .withConfiguration(configuration)
                .withInstances(InstanceList.of(index, List.of(server("a", incarnation), server("b", 1))));
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

    private static long now() {
        return MonotonicClock.millis();
    }
}
