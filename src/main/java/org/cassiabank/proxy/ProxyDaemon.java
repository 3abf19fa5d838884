package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendClientSettings;
import org.cassiabank.backend.DefaultHeaderConventions;
import org.cassiabank.backend.HeaderConventions;
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
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.source.FleetSource;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.PlatformAdapters;
import org.cassiabank.source.RetryBudgetSettings;
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
    private final AdminEndpoint admin;
    private final CallerServer callers;

    private ProxyDaemon(ProxySettings settings, Kernel kernel, AdminEndpoint admin, CallerServer callers) {
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
        PeerSocketFactories socketFactories = peerSocketFactories(settings);
        ProxyMetrics metrics = ProxyMetrics.create();
        FleetState fleet =
                FleetState.create(settings.region(), settings.platform().floorPercent());
        PeerClientPool clientPool = PeerClientPool.create(socketFactories, metrics);
        PeerCaller peerCaller = PeerCaller.create(settings.name(), clientPool);
        Replication replication = Replication.create(self, fleet, peerCaller);
        Optional<PlatformAdapter> adapter = settings.platform().adapter().map(PlatformAdapters::forName);
        Optional<RetryBudgetSettings> retryBudgetSettings = adapter.map(found -> retryBudgetSettings(found, settings));
        OwnedShards ownedShards = OwnedShards.create(ownerSettings(settings, retryBudgetSettings), fleet, metrics);
        SlotBroker broker = SlotBroker.create(settings, fleet, ownedShards, peerCaller);
        ProxyListHistory lists = ClaimTimes.newProxyListHistory();
        ClaimKeeper keeper = ClaimKeeper.create(
                self, fleet, peerCaller, lists, settings.platform().claims());
        ClaimClient claims = ClaimClient.create(peerCaller, keeper, lists);
        HeaderConventions conventions =
                adapter.map(PlatformAdapter::headerConventions).orElseGet(DefaultHeaderConventions::instance);
        BackendClient backends = BackendClient.create(backendClientSettings(settings), conventions);
        AttemptExecutor attemptExecutor = AttemptExecutor.create(
                settings.name(), settings.failureDomain(), fleet, broker, backends, metrics, conventions);
        RequestHandler requestHandler = RequestHandler.create(
                fleet, attemptExecutor, claims, metrics, conventions, retryBudgetSettings.isPresent());
        FleetSource source = adapter.map(found -> entrySource(found, settings, self))
                .orElseGet(() -> listSource(settings, fleet, replication, metrics));
        CallerServer callers = CallerServer.create(settings.limits(), requestHandler, metrics);
        fleet.onChange((former, view) ->
                callers.applyDeclaredLimits(view.configuration().connectionLimits()));
        AdminEndpoint admin = AdminEndpoint.create(settings);
        Kernel kernel = Kernel.create()
                .register(ServiceNames.SETTINGS, settings)
                .register(ServiceNames.METRICS, metrics)
                .register(ServiceNames.FLEET_STATE, fleet)
                .register(ServiceNames.PEER_CLIENTS, clientPool)
                .register(ServiceNames.PEER_CALLER, peerCaller)
                .register(
                        ServiceName.of("idle-connections", KernelService.class),
                        idleConnections(clientPool, backends, fleet))
                .register(ServiceNames.OWNED_SHARDS, ownedShards)
                .register(ServiceNames.SLOT_BROKER, broker)
                .register(ServiceNames.CLAIM_KEEPER, keeper)
                .register(ServiceNames.CLAIM_CLIENT, claims)
                .register(ServiceNames.REPLICATION, replication)
                .register(ServiceNames.PEER_ENDPOINT, PeerEndpoint.create(settings, socketFactories))
                .register(ServiceNames.FLEET_SOURCE, source)
                .register(
                        ServiceName.of("fleet-source-service", KernelService.class),
                        sourceService(source, FleetInbox.create(fleet, metrics)))
                .register(ServiceNames.REQUEST_HANDLER, requestHandler)
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

    private static RetryBudgetSettings retryBudgetSettings(PlatformAdapter adapter, ProxySettings settings) {
        try {
            return adapter.parseRetryBudget(settings.platform().bounds());
        } catch (IllegalArgumentException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT, "platform-bounds: " + exception.getMessage(), exception);
        }
    }

    private static OwnerSettings ownerSettings(
            ProxySettings settings, Optional<RetryBudgetSettings> retryBudgetSettings) {
        HealthSettings health = HealthSettings.defaults();
        long suspicionMillis = settings.platform().suspicionMillis();
        SchedulerSettings scheduler = SchedulerSettings.defaults().withSeparateLongWork(settings.separateLongWork());
        return new OwnerSettings(
                suspicionMillis > 0 ? scheduler.withUnrepeatableProbeDelayMillis(UNTESTED_MILLIS) : scheduler,
                suspicionMillis > 0 ? health.withSuspicion(SuspicionSettings.of(suspicionMillis)) : health,
                retryBudgetSettings);
    }

    private static FleetSource entrySource(PlatformAdapter adapter, ProxySettings settings, Instance self) {
        return MetadataStoreFleetSource.create(
                adapter, adapter.openStore(settings.store()), self, MonotonicClock::millis);
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

    private static PeerSocketFactories peerSocketFactories(ProxySettings settings) {
        if (settings.peerTls().isEmpty()) {
            return PeerSocketFactories.plain();
        }
        TlsIdentity identity = TlsIdentity.load(settings.peerTls().get());
        return new PeerSocketFactories(TlsSocketFactory.of(identity), TlsServerSocketFactory.of(identity));
    }

    private static BackendClientSettings backendClientSettings(ProxySettings settings) {
        BackendClientSettings defaults = BackendClientSettings.defaults();
        return new BackendClientSettings(
                settings.platform().connectMillis().orElse(defaults.connectTimeoutMillis()),
                settings.limits().answerBytes(),
                defaults.maximumIdleConnectionsPerServer(),
                settings.platform().serverIdleMillis().orElse(defaults.maximumIdleMillis()),
                settings.platform().unrepeatableIdleMillis());
    }

    private static KernelService idleConnections(PeerClientPool clientPool, BackendClient backends, FleetState fleet) {
        ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("idle-connections").daemon().factory());
        return new KernelService() {
            @Override
            public void start(Kernel started) {
                worker.scheduleAtFixedRate(
                        PeriodicTasks.guarded("idle peers", clientPool::closeIdleConnections), 1, 1, TimeUnit.SECONDS);
                // Servers are replaced all day; without this their pools would stay in memory for ever.
                worker.scheduleAtFixedRate(
                        PeriodicTasks.guarded(
                                "former servers",
                                () -> backends.retainServers(fleet.view().serverAddresses())),
                        1,
                        1,
                        TimeUnit.MINUTES);
            }

            @Override
            public void stop() {
                worker.shutdownNow();
                clientPool.close();
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
