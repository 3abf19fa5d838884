package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendSettings;
import org.cassiabank.backend.MessageProfile;
import org.cassiabank.backend.OwnMessages;
import org.cassiabank.health.HealthSettings;
import org.cassiabank.health.SuspicionSettings;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.kernel.ServiceName;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.once.ProxyListHistory;
import org.cassiabank.peer.PeerClients;
import org.cassiabank.peer.PeerSockets;
import org.cassiabank.source.EntryFleetSource;
import org.cassiabank.source.FleetSource;
import org.cassiabank.source.OperatingBounds;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.PlatformAdapters;
import org.cassiabank.store.InstanceListClient;
import org.cassiabank.store.StoreClient;
import org.cassiabank.tls.TlsIdentity;
import org.cassiabank.tls.TlsServerSocketFactory;
import org.cassiabank.tls.TlsSocketFactory;

/**
 * Assembles the services of a daemon, and stops them so that no request in flight is cut.
 */
final class ProxyDaemon implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long DRAIN_POLL_MILLIS = 20;
    /** Where few failures make a server suspect, some services have no repeatable work that could clear it. */
    private static final long UNTESTED_MILLIS = 500;

    private final ProxySettings settings;
    private final Kernel kernel;
    private final AdminPages admin;
    private final CallerServer callers;

    private ProxyDaemon(ProxySettings settings, Kernel kernel, AdminPages admin, CallerServer callers) {
        this.settings = settings;
        this.kernel = kernel;
        this.admin = admin;
        this.callers = callers;
    }

    /**
     * Assembles a daemon that is not started yet.
     *
     * @param settings the settings
     * @return the daemon
     */
    static ProxyDaemon create(ProxySettings settings) {
        Objects.requireNonNull(settings, "settings");
        Instance self = Instance.of(
                settings.name(),
                InstanceRole.PROXY,
                settings.peerAddress().toString(),
                settings.region(),
                settings.failureDomain(),
                InstanceState.LIVE);
        PeerSockets sockets = peerSockets(settings);
        ProxyMetrics metrics = ProxyMetrics.create();
        FleetState fleet =
                FleetState.create(settings.region(), settings.platform().floorPercent());
        PeerClients clients = PeerClients.create(sockets, metrics);
        PeerDirectory peers = PeerDirectory.create(settings.name(), clients);
        Replication replication = Replication.create(self, fleet, peers);
        Optional<PlatformAdapter> adapter = settings.platform().adapter().map(PlatformAdapters::named);
        Optional<OperatingBounds> bounds = adapter.map(found -> bounds(found, settings));
        ShardOwners owners = ShardOwners.create(ownerSettings(settings, bounds), fleet, metrics);
        SlotBroker broker = SlotBroker.create(settings, fleet, owners, peers);
        ProxyListHistory lists = ClaimTimes.newHistory();
        ClaimKeeper keeper = ClaimKeeper.create(
                self, fleet, peers, lists, settings.platform().claims());
        ClaimClient claims = ClaimClient.create(peers, keeper, lists);
        MessageProfile profile = adapter.map(PlatformAdapter::messages).orElseGet(OwnMessages::create);
        BackendClient backends = BackendClient.create(backendSettings(settings), profile);
        Attempts attempts =
                Attempts.create(settings.name(), settings.failureDomain(), fleet, broker, backends, metrics, profile);
        Entry entry = Entry.create(fleet, attempts, claims, metrics, profile, bounds.isPresent());
        FleetSource source = adapter.map(found -> entrySource(found, settings, self))
                .orElseGet(() -> listSource(settings, fleet, replication, metrics));
        CallerServer callers = CallerServer.create(settings.limits(), entry, metrics);
        fleet.onChange(
                (former, view) -> callers.useDeclared(view.configuration().connectionLimits()));
        AdminPages admin = AdminPages.create(settings);
        Kernel kernel = Kernel.create()
                .register(ServiceNames.SETTINGS, settings)
                .register(ServiceNames.METRICS, metrics)
                .register(ServiceNames.FLEET, fleet)
                .register(ServiceNames.PEER_CLIENTS, clients)
                .register(ServiceNames.PEER_DIRECTORY, peers)
                .register(
                        ServiceName.of("idle-connections", KernelService.class),
                        idleConnections(clients, backends, fleet))
                .register(ServiceNames.OWNERS, owners)
                .register(ServiceNames.BROKER, broker)
                .register(ServiceNames.CLAIM_KEEPER, keeper)
                .register(ServiceNames.CLAIMS, claims)
                .register(ServiceNames.REPLICATION, replication)
                .register(ServiceNames.PEER_ENDPOINT, PeerEndpoint.create(settings, sockets))
                .register(ServiceNames.FLEET_SOURCE, source)
                .register(
                        ServiceName.of("fleet-source-service", KernelService.class),
                        sourceService(source, FleetInbox.create(fleet, metrics)))
                .register(ServiceNames.ENTRY, entry)
                .register(ServiceNames.ADMIN, admin);
        return new ProxyDaemon(settings, kernel, admin, callers);
    }

    /**
     * Starts all services and listens for callers.
     *
     * @throws org.cassiabank.kernel.CassiabankException if a service cannot start
     */
    void start() {
        kernel.start();
        callers.start(settings.callersAddress(), settings.callersTls().map(TlsIdentity::load));
        LOGGER.atInfo().log(
                "%s serves callers on %s, peers on %s, operators on %s",
                settings.name(), settings.callersAddress(), settings.peerAddress(), settings.adminAddress());
    }

    /**
     * Stops the daemon without cutting a request: first the load balancer's check fails, then requests in flight end,
     * then claims are handed over and the services stop.
     */
    @Override
    public void close() {
        LOGGER.atInfo().log("%s drains", settings.name());
        long deadline = MonotonicClock.millis() + settings.longestDrainMillis();
        admin.startDraining();
        callers.startDraining();
        // Peers choose other owners while this one still answers.
        kernel.get(ServiceNames.FLEET_SOURCE).announceLeaving();
        sleep(settings.drainMillis());
        callers.stopListening();
        while (callers.requestsInFlight() > 0 && MonotonicClock.millis() < deadline) {
            sleep(DRAIN_POLL_MILLIS);
        }
        kernel.get(ServiceNames.CLAIM_KEEPER).handOverAll();
        if (callers.requestsInFlight() > 0) {
            // The process is about to be killed; closing everything in order would take the time that is left.
            LOGGER.atWarning().log(
                    "%s stops with %d requests in flight after %d ms",
                    settings.name(), callers.requestsInFlight(), settings.longestDrainMillis());
            return;
        }
        callers.close();
        kernel.close();
        LOGGER.atInfo().log("%s has stopped", settings.name());
    }

    private static OperatingBounds bounds(PlatformAdapter adapter, ProxySettings settings) {
        try {
            return adapter.bounds(settings.platform().bounds());
        } catch (IllegalArgumentException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT, "platform-bounds: " + exception.getMessage(), exception);
        }
    }

    private static OwnerSettings ownerSettings(ProxySettings settings, Optional<OperatingBounds> bounds) {
        HealthSettings health = HealthSettings.defaults();
        long suspicionMillis = settings.platform().suspicionMillis();
        SchedulerSettings scheduler = SchedulerSettings.defaults().withSeparateClasses(settings.separateLongWork());
        return new OwnerSettings(
                suspicionMillis > 0 ? scheduler.withUnrepeatableTests(UNTESTED_MILLIS) : scheduler,
                suspicionMillis > 0 ? health.withSuspicion(SuspicionSettings.of(suspicionMillis)) : health,
                bounds);
    }

    private static FleetSource entrySource(PlatformAdapter adapter, ProxySettings settings, Instance self) {
        return EntryFleetSource.create(adapter, adapter.openStore(settings.store()), self, MonotonicClock::millis);
    }

    private static FleetSource listSource(
            ProxySettings settings, FleetState fleet, Replication replication, ProxyMetrics metrics) {
        return PlatformWatch.create(
                StoreClient.create(settings.store()),
                InstanceListClient.create(settings.store()),
                fleet,
                replication,
                metrics);
    }

    private static KernelService sourceService(FleetSource source, FleetInbox inbox) {
        return new KernelService() {
            @Override
            public void start(Kernel started) {
                source.start(inbox);
            }

            @Override
            public void stop() {
                source.close();
            }
        };
    }

    private static PeerSockets peerSockets(ProxySettings settings) {
        if (settings.peerTls().isEmpty()) {
            return PeerSockets.plain();
        }
        TlsIdentity identity = TlsIdentity.load(settings.peerTls().get());
        return new PeerSockets(TlsSocketFactory.of(identity), TlsServerSocketFactory.of(identity));
    }

    private static BackendSettings backendSettings(ProxySettings settings) {
        BackendSettings defaults = BackendSettings.defaults();
        return new BackendSettings(
                settings.platform().connectMillis().orElse(defaults.connectMillis()),
                settings.limits().answerBytes(),
                defaults.idlePerServer(),
                settings.platform().serverIdleMillis().orElse(defaults.idleAgeMillis()),
                settings.platform().unrepeatableIdleMillis());
    }

    private static KernelService idleConnections(PeerClients clients, BackendClient backends, FleetState fleet) {
        ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("idle-connections").daemon().factory());
        return new KernelService() {
            @Override
            public void start(Kernel started) {
                worker.scheduleAtFixedRate(Repeated.guarded("idle peers", clients::closeIdle), 1, 1, TimeUnit.SECONDS);
                // Servers are replaced all day; without this their pools would stay in memory for ever.
                worker.scheduleAtFixedRate(
                        Repeated.guarded(
                                "former servers",
                                () -> backends.retainServers(fleet.view().serverAddresses())),
                        1,
                        1,
                        TimeUnit.MINUTES);
            }

            @Override
            public void stop() {
                worker.shutdownNow();
                clients.close();
                backends.close();
            }
        };
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
