package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cassiabank.fleet.TcpFaultRelay;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.FleetUpdateListener;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.VersionedConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that follows the store wrongly while the store fails in the ways that the platform names. */
class MetadataStoreFleetSourceTest {
    private static final Duration PATIENCE = Duration.ofSeconds(15);
    private static final String SELF = "proxy-1";

    private final StoreStandIn standIn = StoreStandIn.start();
    private final RecordingListener listener = new RecordingListener();
    private final MetadataStoreFleetSource source = newSource(SELF, standIn.address());

    @BeforeEach
    void start() {
        standIn.write("op/config", configuration(5));
        standIn.write("servers/i-1", server(8081));
        standIn.write("servers/i-2", server(8082));
        source.start(listener);
        await(() -> listener.configurationRevision() == 5
                && listener.has("i-1")
                && listener.has("i-2")
                && listener.has(SELF));
    }

    @AfterEach
    void stop() {
        source.close();
        standIn.close();
    }

    @Test
    void changesAreFollowed() {
        standIn.write("op/config", configuration(9));
        standIn.remove("servers/i-1");
        await(() -> listener.configurationRevision() == 9 && !listener.has("i-1"));
        assertThat(listener.has("i-2")).isTrue();
        assertThat(source.isUpToDate()).isTrue();
    }

    @Test
    void theListIsInForceBeforeTheConfiguration() {
        // A daemon with a configuration accepts requests, and without a list it has no server for them.
        assertThat(listener.indexAtFirstConfiguration).isPositive();
    }

    @Test
    void anOlderConfigurationIsNotTaken() {
        standIn.write("op/config", configuration(4));
        standIn.write("servers/i-3", server(8083));
        await(() -> listener.has("i-3"));
        assertThat(listener.configurationRevision()).isEqualTo(5);
    }

    @Test
    void unreadableEntriesTouchNothingElse() {
        standIn.write("servers/i-9", "{\"address\":7}");
        standIn.write("op/config", "not a configuration");
        standIn.write("servers/i-3", server(8083));
        await(() -> listener.has("i-3"));
        assertThat(listener.has("i-9")).isFalse();
        assertThat(listener.has("i-2")).isTrue();
        assertThat(listener.configurationRevision()).isEqualTo(5);
        standIn.write("op/config", configuration(6));
        await(() -> listener.configurationRevision() == 6);
    }

    @Test
    void forgottenHistoryIsReadAnew() {
        standIn.failWithStatus(503);
        await(() -> !source.isUpToDate());
        standIn.remove("servers/i-1");
        standIn.write("op/config", configuration(7));
        standIn.compactHistory();
        standIn.failWithStatus(0);
        await(() -> listener.configurationRevision() == 7 && !listener.has("i-1"));
    }

    @Test
    void aDaemonWhoseLeaseLapsedRegistersAgain() {
        standIn.expireLeases();
        await(() -> !standIn.has("cassiabank/daemons/" + SELF));
        await(() -> standIn.has("cassiabank/daemons/" + SELF));
        await(() -> listener.has(SELF));
    }

    @Test
    void aWriteWhoseAnswerIsLostIsMadeAgain() {
        standIn.dropResponses(true);
        standIn.expireLeases();
        await(() -> standIn.has("cassiabank/daemons/" + SELF));
        standIn.dropResponses(false);
        await(() -> listener.has(SELF));
    }

    @Test
    void serversThatLapsedDuringAnOutageStayForTwoSeconds() {
        standIn.failWithStatus(503);
        await(() -> !source.isUpToDate());
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1_500));
        standIn.remove("servers/i-1");
        standIn.remove("servers/i-2");
        standIn.failWithStatus(0);
        await(source::isUpToDate);
        assertThat(listener.has("i-1")).isTrue();
        standIn.write("servers/i-2", server(8082));
        await(() -> !listener.has("i-1"));
        assertThat(listener.has("i-2")).isTrue();
    }

    @Test
    void aListOfAPeerThatCameDuringAnOutageIsReplacedWhenTheStoreIsBack() {
        standIn.failWithStatus(503);
        await(() -> !source.isUpToDate());
        listener.install(InstanceList.of(listener.instanceListIndex() + 1_000_000, List.of()));
        standIn.failWithStatus(0);
        await(() -> listener.has("i-1") && listener.has("i-2"));
    }

    @Test
    void changesAreFollowedSoonAfterAllOpenConnectionsWentSilent() throws IOException {
        URI address = standIn.address();
        try (TcpFaultRelay relay = TcpFaultRelay.start(address.getHost(), address.getPort())) {
            RecordingListener other = new RecordingListener();
            MetadataStoreFleetSource behindRelay = newSource("proxy-2", URI.create("http://" + relay.address()));
            behindRelay.start(other);
            await(() -> other.configurationRevision() == 5 && other.has("proxy-2"));
            relay.blackholeOpenConnections();
            standIn.write("op/config", configuration(6));
            // Three seconds to notice it and two for the change, which are the bounds of the platform.
            await(Duration.ofSeconds(5), () -> other.configurationRevision() == 6);
            behindRelay.close();
        }
    }

    @Test
    void aLeavingDaemonTakesItsEntryAway() {
        source.announceLeaving();
        await(() -> !standIn.has("cassiabank/daemons/" + SELF));
    }

    private static MetadataStoreFleetSource newSource(String name, URI address) {
        KeyValueAdapter adapter = new KeyValueAdapter();
        Instance self = Instance.of(name, InstanceRole.PROXY, "127.0.0.1:7200", "region", "domain", InstanceState.LIVE);
        return MetadataStoreFleetSource.create(
                adapter, adapter.openStore(address), self, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    private static void await(BooleanSupplier condition) {
        await(PATIENCE, condition);
    }

    private static void await(Duration patience, BooleanSupplier condition) {
        long deadline = System.nanoTime() + patience.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("waited for " + patience).isLessThan(deadline);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    private static String configuration(int version) {
        return """
                {"version":"%08x","resources":[
                  {"resource_type":"services","metadata":{"name":"desk"},"spec":{}}]}
                """.formatted(version);
    }

    private static String server(int port) {
        return """
                {"address":"127.0.0.1:%d","status":{"state":"ready"},
                 "info":{"service":"desk","version":"v1","zone":"domain","slots":2}}
                """.formatted(port);
    }

    /** Takes what the source learns. */
    private static final class RecordingListener implements FleetUpdateListener {
        private volatile long revision;
        private volatile long indexAtFirstConfiguration = -1;
        private volatile InstanceList instances = InstanceList.empty();

        boolean has(String name) {
            return instances.find(name).isPresent();
        }

        @Override
        public long configurationRevision() {
            return revision;
        }

        @Override
        public long instanceListIndex() {
            return instances.index();
        }

        @Override
        public boolean install(VersionedConfiguration versionedConfiguration) {
            if (indexAtFirstConfiguration < 0) {
                indexAtFirstConfiguration = instances.index();
            }
            revision = versionedConfiguration.revision();
            return true;
        }

        @Override
        public boolean install(InstanceList list) {
            assertThat(list.index()).isGreaterThan(instances.index());
            instances = list;
            return true;
        }

        @Override
        public void recordStoreCall(String kind) {
            // Not counted here.
        }
    }
}
