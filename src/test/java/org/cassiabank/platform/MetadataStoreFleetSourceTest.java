package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.cassiabank.fleet.TcpFaultRelay;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.StoreRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against outdated, incomplete or missing configurations, instance lists and registrations. They come about when
 * the store fails in the ways that the platform documents: outages, expired leases, compacted history, lost responses,
 * silent connections and unreadable entries.
 */
class MetadataStoreFleetSourceTest {
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(15);
    private static final String PROXY_NAME = "proxy-1";

    private final StoreStandIn standIn = StoreStandIn.start();
    private final RecordingFleetListener listener = new RecordingFleetListener();
    private final MetadataStoreFleetSource source = newSource(PROXY_NAME, standIn.address());

    @BeforeEach
    void startAndAwaitFirstEntries() {
        standIn.write("op/config", PlatformTestDocuments.configuration(5));
        standIn.write("servers/i-1", PlatformTestDocuments.server(8081));
        standIn.write("servers/i-2", PlatformTestDocuments.server(8082));
        source.start(listener);
        await(() -> listener.configurationRevision() == 5
                && listener.has("i-1")
                && listener.has("i-2")
                && listener.has(PROXY_NAME)
                && source.isUpToDate());
    }

    @AfterEach
    void close() {
        source.close();
        standIn.close();
    }

    @Test
    void changesOfTheStoreArePublished() {
        standIn.write("op/config", PlatformTestDocuments.configuration(9));
        standIn.remove("servers/i-1");
        await(() -> listener.configurationRevision() == 9 && !listener.has("i-1"));
        assertThat(listener.has("i-2")).isTrue();
        assertThat(source.isUpToDate()).isTrue();
    }

    @Test
    void theInstanceListIsInstalledBeforeTheConfiguration() {
        // A daemon with a configuration accepts requests, and without an instance list it has no server for them.
        assertThat(listener.indexAtFirstConfiguration()).isPositive();
    }

    /** Until then peers are asked for their whole lists, and at the start of a fleet by all daemons. */
    @Test
    void aDaemonIsUpToDateAsSoonAsItHasPublishedWhatItRead() {
        RecordingFleetListener startingListener = new RecordingFleetListener();
        MetadataStoreFleetSource startingSource = newSource("proxy-3", standIn.address());
        startingSource.start(startingListener);
        await(() -> startingListener.configurationRevision() == 5);
        await(Duration.ofMillis(200), startingSource::isUpToDate);
        startingSource.close();
    }

    @Test
    void anOlderConfigurationIsNotInstalled() {
        standIn.write("op/config", PlatformTestDocuments.configuration(4));
        standIn.write("servers/i-3", PlatformTestDocuments.server(8083));
        await(() -> listener.has("i-3"));
        assertThat(listener.configurationRevision()).isEqualTo(5);
    }

    @Test
    void unreadableEntriesDoNotAffectOtherEntries() {
        standIn.write("servers/i-9", "{\"address\":7}");
        standIn.write("cassiabank/daemons/empty", "[]");
        standIn.write("cassiabank/daemons/null", "null");
        standIn.write("cassiabank/daemons/null-entry", "[null]");
        standIn.write("cassiabank/daemons/nameless", "[{\"role\":\"proxy\",\"state\":\"live\"}]");
        standIn.write("op/config", "not a configuration");
        standIn.write("servers/i-3", PlatformTestDocuments.server(8083));
        await(() -> listener.has("i-3"));
        assertThat(listener.has("i-9")).isFalse();
        assertThat(listener.has("i-2")).isTrue();
        assertThat(listener.configurationRevision()).isEqualTo(5);
        standIn.write("op/config", PlatformTestDocuments.configuration(0));
        standIn.write("servers/i-4", PlatformTestDocuments.server(8084));
        await(() -> listener.has("i-4"));
        standIn.write("op/config", PlatformTestDocuments.configuration(6));
        await(() -> listener.configurationRevision() == 6);
    }

    /** Guards against entries of other writers that end the reading, or that name a server which nobody can reach. */
    @ParameterizedTest
    @MethodSource("oddServerEntries")
    void anOddEntryNamesNoServerAndDoesNotStopTheOthers(String oddEntry) {
        standIn.write("servers/i-9", oddEntry);
        standIn.write("servers/i-3", PlatformTestDocuments.server(8083));
        await(() -> listener.has("i-3"));
        assertThat(listener.has("i-9")).isFalse();
        assertThat(listener.has("i-2")).isTrue();
        RecordingFleetListener startingListener = new RecordingFleetListener();
        MetadataStoreFleetSource startingSource = newSource("proxy-4", standIn.address());
        startingSource.start(startingListener);
        await(() -> startingListener.configurationRevision() == 5);
        assertThat(startingListener.has("i-9")).isFalse();
        assertThat(startingListener.has("i-3")).isTrue();
        startingSource.close();
    }

    static Stream<String> oddServerEntries() {
        String entry = PlatformTestDocuments.server(8089);
        return Stream.concat(
                Stream.of(
                        "[".repeat(100_000) + "]".repeat(100_000),
                        "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
                        "",
                        "\u0000\u0001",
                        entry.substring(0, entry.length() / 2),
                        entry.replace("\"slots\":2", "\"slots\":" + "9".repeat(400)),
                        entry.replace("\"slots\":2", "\"slots\":1e999999999"),
                        entry.replace("\"slots\":2", "\"slots\":2,\"born\":1")
                                .replace("\"status\"", "\"born\":1.5,\"status\"")),
                Stream.of(
                                "127.0.0.1:99999",
                                "127.0.0.1:0",
                                "127.0.0.1:-1",
                                "127.0.0.1:+80",
                                "127.0.0.1:" + "9".repeat(400),
                                "127.0.0.1:",
                                "127.0.0.1",
                                "[::1",
                                "[::1:80",
                                "::1:80",
                                "127.0.0.1/a:80",
                                "user@127.0.0.1:80",
                                "127.0.0.1 :80",
                                "127.0.0.1?:80",
                                ":80")
                        .map(address -> entry.replace("127.0.0.1:8089", address)));
    }

    @Test
    void allEntriesAreReadAgainAfterTheHistoryIsCompacted() {
        standIn.failWithStatus(503);
        await(() -> !source.isUpToDate());
        standIn.remove("servers/i-1");
        standIn.write("op/config", PlatformTestDocuments.configuration(7));
        standIn.compactHistory();
        standIn.failWithStatus(0);
        await(() -> listener.configurationRevision() == 7 && !listener.has("i-1"));
    }

    @Test
    void aDaemonWhoseLeaseExpiredRegistersAgain() {
        standIn.expireLeases();
        await(() -> !standIn.has("cassiabank/daemons/" + PROXY_NAME));
        await(() -> standIn.has("cassiabank/daemons/" + PROXY_NAME));
        await(() -> listener.has(PROXY_NAME));
    }

    @Test
    void aRegistrationWhoseResponseIsLostIsWrittenAgain() {
        standIn.dropResponses(true);
        standIn.expireLeases();
        await(() -> standIn.has("cassiabank/daemons/" + PROXY_NAME));
        standIn.dropResponses(false);
        await(() -> listener.has(PROXY_NAME));
    }

    @Test
    void serversThatExpireDuringAnOutageStayListedForTwoSeconds() {
        standIn.failWithStatus(503);
        await(() -> !source.isUpToDate());
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1_500));
        standIn.remove("servers/i-1");
        standIn.remove("servers/i-2");
        standIn.failWithStatus(0);
        await(source::isUpToDate);
        assertThat(listener.has("i-1")).isTrue();
        standIn.write("servers/i-2", PlatformTestDocuments.server(8082));
        await(() -> !listener.has("i-1"));
        assertThat(listener.has("i-2")).isTrue();
    }

    @Test
    void anInstanceListOfAPeerFromAnOutageIsReplacedWhenTheStoreResponds() {
        standIn.failWithStatus(503);
        await(() -> !source.isUpToDate());
        listener.install(InstanceList.of(listener.instanceListIndex() + 1_000_000, List.of()));
        standIn.failWithStatus(0);
        await(() -> listener.has("i-1") && listener.has("i-2"));
    }

    @Test
    void changesArePublishedWithinFiveSecondsAfterOpenConnectionsStopResponding() throws IOException {
        URI address = standIn.address();
        try (TcpFaultRelay relay = TcpFaultRelay.start(address.getHost(), address.getPort())) {
            RecordingFleetListener relayedListener = new RecordingFleetListener();
            MetadataStoreFleetSource relayedSource = newSource("proxy-2", URI.create("http://" + relay.address()));
            relayedSource.start(relayedListener);
            await(() -> relayedListener.configurationRevision() == 5 && relayedListener.has("proxy-2"));
            relay.blackholeOpenConnections();
            standIn.write("op/config", PlatformTestDocuments.configuration(6));
            // The bounds of the platform: 3 s to detect the silent connections and 2 s to put the change into force.
            await(Duration.ofSeconds(5), () -> relayedListener.configurationRevision() == 6);
            relayedSource.close();
        }
    }

    @Test
    void aLeavingDaemonRemovesItsEntry() {
        source.announceLeaving();
        await(() -> !standIn.has("cassiabank/daemons/" + PROXY_NAME));
    }

    private static MetadataStoreFleetSource newSource(String name, URI address) {
        KeyValueAdapter adapter = new KeyValueAdapter();
        Instance self = Instance.of(name, InstanceRole.PROXY, "127.0.0.1:7200", "region", "domain", InstanceState.LIVE);
        return MetadataStoreFleetSource.create(
                adapter,
                adapter.openStore(address),
                self,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                StoreRelay.none(),
                PropagationTimes.of(2_000));
    }

    private static void await(BooleanSupplier condition) {
        await(MAXIMUM_WAIT, condition);
    }

    private static void await(Duration maximumWait, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + maximumWait.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime())
                    .as("condition not met within " + maximumWait)
                    .isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }
}
