package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerHealth;
import org.junit.jupiter.api.Test;

/**
 * Guards against large messages that fill a narrow link although a server of the same failure domain is free, and
 * against servers that stay idle because of small messages.
 */
class MessageBytesPlacementTest {
    private final SlotScheduler scheduler = SlotScheduler.create(SchedulerSettings.defaults());

    @Test
    void largeMessagesUseAnotherFailureDomainOnlyIfNoNearServerIsFree() {
        learnBytes(90_000);
        assertThat(List.of(nearRequest(Set.of()), nearRequest(Set.of()), nearRequest(Set.of())))
                .containsExactly("near", "near", "far");
        assertThat(nearRequest(Set.of("near")))
                .as("a retry whose only near server was tried")
                .isEqualTo("far");
    }

    @Test
    void otherFailureDomainCostsMoreWithTheBytesOfTheRoute() {
        assertThat(new RouteBytes().otherDomainCostLeases()).isBetween(1.0, 1.2);
        assertThat(costLeases(300)).isEqualTo(0.5);
        assertThat(costLeases(5_000)).isBetween(1.4, 1.6);
        assertThat(costLeases(30_000)).isBetween(6.0, 8.0);
        learnBytes(300);
        assertThat(nearRequest(Set.of())).isEqualTo("near");
        assertThat(nearRequest(Set.of())).as("small messages spread").isEqualTo("far");
    }

    private static double costLeases(int responseBytes) {
        RouteBytes bytes = new RouteBytes();
        bytes.record(new MessageBytes(0, responseBytes));
        return bytes.otherDomainCostLeases();
    }

    private void learnBytes(int responseBytes) {
        scheduler.replaceServers(List.of(server("far", "north"), server("near", "south")), 0);
        Granted granted = (Granted) scheduler.acquire(request(Set.of()), 0);
        scheduler.recordMessageBytes(granted.leaseId(), new MessageBytes(0, responseBytes));
        scheduler.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, 1_000, 0);
    }

    private String nearRequest(Set<String> excludedServers) {
        return ((Granted) scheduler.acquire(request(excludedServers), 0)).serverName();
    }

    private static AdmissionRequest request(Set<String> excludedServers) {
        return new AdmissionRequest(
                "entry",
                "menu",
                "menu",
                "customer",
                CostHint.SHORT,
                true,
                0,
                10_000,
                0,
                excludedServers,
                Map.of(),
                new PlacementHints(1, "south", Set.of(), true),
                RequestDigest.none());
    }

    private static SchedulableServer server(String name, String failureDomain) {
        return new SchedulableServer(
                name,
                "127.0.0.1:20000",
                2,
                ServerHealth.HEALTHY,
                false,
                Map.of(),
                failureDomain,
                OptionalDouble.empty());
    }
}
