package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.cassiabank.admission.ResponseTimes;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendClientSettings;
import org.cassiabank.backend.DefaultHeaderConventions;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.backend.ResponseMemory;
import org.cassiabank.health.HealthSettings;
import org.cassiabank.health.SuspicionSettings;
import org.cassiabank.kernel.BackgroundTasks;
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
import org.cassiabank.quota.QuotaBounds;
import org.cassiabank.source.FleetSource;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.PlatformAdapters;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.RetryBudgetSettings;
import org.cassiabank.store.InstanceListClient;
import org.cassiabank.store.StoreClient;
import org.cassiabank.tls.TlsIdentity;
import org.cassiabank.tls.TlsServerSocketFactory;
import org.cassiabank.tls.TlsSocketFactory;

/**
 * Assembles and starts the services of a daemon, and stops them without interrupting requests in flight.
 */
final class ProxyDaemon implements AutoCloseable {
    private static final ServiceName<KernelService> FLEET_SOURCE_SERVICE =
            ServiceName.of("fleet-source-service", KernelService.class);
    private static final ServiceName<KernelService> IDLE_CONNECTIONS =
            ServiceName.of("idle-connections", KernelService.class);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

    /** The time before the platform kills a stopping process in which it writes its last replies and exits. */
    private static final long END_MILLIS = 700;

    /** The longest time for writing the replies to the requests that are given up at the end. */
    private static final long LAST_REPLIES_MILLIS = 200;

    /**
     * Applies where a few abrupt failures eject a server: some services have no repeatable requests that could probe
     * it, so an unrepeatable one does so after this time on probation.
     */
    private static final long UNREPEATABLE_PROBE_DELAY_MILLIS = 500;

    private final ProxySettings settings;
    private final Kernel kernel;
    private final AdminEndpoint adminEndpoint;
    private final CallerServer callerServer;

    private ProxyDaemon(ProxySettings settings, Kernel kernel, AdminEndpoint adminEndpoint, CallerServer callerServer) {
        this.settings = settings;
        this.kernel = kernel;
        this.adminEndpoint = adminEndpoint;
        this.callerServer = callerServer;
    }

    /**
     * Assembles a daemon that is not started yet.
     *
     * @param settings the settings
     * @return the daemon
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if the adapter is unknown or rejects
     *     {@code platform-bounds}, or if a TLS file for peers cannot be loaded
     */
    static ProxyDaemon create(ProxySettings settings) {
        Instance self = selfInstance(Objects.requireNonNull(settings, "settings"));
        PeerSocketFactories socketFactories = peerSocketFactories(settings);
        ProxyMetrics metrics = ProxyMetrics.create();
        FleetState fleet =
                FleetState.create(settings.region(), settings.platform().floorPercent());
        PeerClientPool clientPool = PeerClientPool.create(socketFactories, metrics);
        PeerTransport peerTransport = PeerTransport.create(settings.name(), clientPool);
        Replication replication = Replication.create(self, fleet, peerTransport);
        Optional<PlatformAdapter> adapter = settings.platform().adapterName().map(PlatformAdapters::forName);
        FatalRequestExchange fatalRequests = FatalRequestExchange.create(fleet, peerTransport, metrics);
        OwnerSettings ownerSettings = ownerSettings(settings, adapter);
        KnownLeavingServers leavingServers = KnownLeavingServers.create(fleet, metrics);
        QuotaExchange quotas = newQuotas(settings, adapter, self, fleet, peerTransport, metrics);
        OwnedShards ownedShards =
                OwnedShards.create(ownerSettings, fleet, fatalRequests, leavingServers, metrics, quotas);
        SlotBroker slotBroker =
                SlotBroker.create(settings, fleet, ownedShards, fatalRequests, peerTransport, leavingServers, metrics);
        ProxyListHistory proxyLists = ClaimTimes.newProxyListHistory();
        ClaimKeeper claimKeeper = ClaimKeeper.create(
                self, fleet, peerTransport, proxyLists, settings.platform().claimsEnabled());
        ClaimClient claimClient = ClaimClient.create(peerTransport, claimKeeper, proxyLists);
        HeaderConventions conventions = headerConventions(adapter);
        BackendClient backendClient = newBackendClient(settings, conventions);
        ServerPathMonitor serverPath = ServerPathMonitor.create(fleet, backendClient, metrics);
        AttemptExecutor attemptExecutor = AttemptExecutor.create(
                self, fleet, slotBroker, backendClient, serverPath, leavingServers, metrics, conventions);
        RequestForwarder forwarder = RequestForwarder.create(self, fleet, peerTransport, leavingServers, metrics);
        PlannedStop plannedStop = PlannedStop.create(ResponseTimes.create(), ownerSettings.departureMillis());
        boolean ownersLimitRetries = ownerSettings.retryBudgetSettings().isPresent();
        RequestHandler requestHandler = RequestHandler.create(
                fleet, attemptExecutor, plannedStop, forwarder, claimClient, metrics, conventions, ownersLimitRetries);
        ForwardedRequests forwardedRequests =
                ForwardedRequests.create(requestHandler, serverPath::isCutOff, leavingServers);
        registerStateGauges(metrics, fleet);
        FleetSource source = createFleetSource(adapter, settings, self, fleet, replication, peerTransport, metrics);
        CallerServer callerServer = newCallerServer(settings, fleet, requestHandler, metrics);
        AdminEndpoint adminEndpoint = AdminEndpoint.create(settings);
        Kernel kernel = kernelOfShared(settings, metrics, fleet, leavingServers, clientPool, peerTransport)
                .register(IDLE_CONNECTIONS, connectionCleanupService(clientPool, backendClient, fleet))
                .register(ServiceNames.FATAL_REQUESTS, fatalRequests)
                .register(ServiceNames.QUOTAS, quotas)
                .register(ServiceNames.OWNED_SHARDS, ownedShards)
                .register(ServiceNames.SLOT_BROKER, slotBroker)
                .register(ServiceNames.CLAIM_KEEPER, claimKeeper)
                .register(ServiceNames.CLAIM_CLIENT, claimClient)
                .register(ServiceNames.REPLICATION, replication)
                .register(ServiceNames.SERVER_PATH, serverPath)
                .register(ServiceNames.FORWARDED_REQUESTS, forwardedRequests)
                .register(ServiceNames.PEER_ENDPOINT, PeerEndpoint.create(settings, socketFactories))
                .register(ServiceNames.FLEET_SOURCE, source)
                .register(FLEET_SOURCE_SERVICE, fleetSourceService(source, FleetStateUpdater.create(fleet, metrics)))
                .register(ServiceNames.PLANNED_STOP, plannedStop)
                .register(ServiceNames.REQUEST_HANDLER, requestHandler)
                .register(ServiceNames.ADMIN, adminEndpoint)
                // Last: on a machine with part of a processor it would delay the start of the others.
                .register(ServiceNames.WARM_START, WarmStart.create(settings, adapter.isPresent()));
        return new ProxyDaemon(settings, kernel, adminEndpoint, callerServer);
    }

    private static void registerStateGauges(ProxyMetrics metrics, FleetState fleet) {
        metrics.registerGauge(
                "cassiabank_configuration_revision",
                "Revision of the configuration that is in force, 0 before the first one.",
                fleet::revision);
        metrics.registerGauge(
                "cassiabank_state_age_seconds",
                "Age of the latest evidence that no acknowledged change is missing; NaN if there is none.",
                () -> fleet.confirmation()
                        .map(known -> known.ageMillis(MonotonicClock.millis()) / MILLIS_PER_SECOND)
                        .orElse(Double.NaN));
    }

    private static CallerServer newCallerServer(
            ProxySettings settings, FleetState fleet, RequestHandler requestHandler, ProxyMetrics metrics) {
        CallerServer callerServer = CallerServer.create(settings.limits(), requestHandler, metrics);
        metrics.registerGauge(
                "cassiabank_request_body_bytes",
                "Bytes reserved for the bodies of requests that are read or answered.",
                () -> callerServer.requestMemory().reservedBytes());
        metrics.registerGauge(
                "cassiabank_waiting_bodies",
                "Requests whose bodies are not read because there is no memory for them.",
                () -> callerServer.requestMemory().waitingRequests());
        fleet.addListener((formerView, newView) ->
                callerServer.applyDeclaredLimits(newView.configuration().connectionLimits()));
        return callerServer;
    }

    /** The stop ends before the platform kills the process, or after the time of the settings if it states no time. */
    private static long longestStopMillis(Optional<PlatformAdapter> adapter, ProxySettings settings) {
        return adapter.flatMap(found -> parseBounds(found::parseStopGraceMillis, settings))
                .map(graceMillis -> Math.max(settings.drainMillis(), graceMillis - END_MILLIS))
                .orElse(settings.longestDrainMillis());
    }

    private static HeaderConventions headerConventions(Optional<PlatformAdapter> adapter) {
        return adapter.map(PlatformAdapter::headerConventions).orElseGet(DefaultHeaderConventions::instance);
    }

    private static Instance selfInstance(ProxySettings settings) {
        return Instance.of(
                settings.name(),
                InstanceRole.PROXY,
                settings.peerAddress().toString(),
                settings.region(),
                settings.failureDomain(),
                InstanceState.LIVE);
    }

    /**
     * Starts all services and listens for callers.
     *
     * @throws CassiabankException if a service cannot start
     */
    void start() {
        kernel.start();
        callerServer.start(settings.callersAddress(), settings.callersTls().map(TlsIdentity::load));
        LOGGER.atInfo().log(
                "%s accepts callers on %s, peers on %s, operators on %s",
                settings.name(), settings.callersAddress(), settings.peerAddress(), settings.adminAddress());
    }

    /** Waits until the daemon can no longer serve callers although it was not stopped. */
    void awaitUnexpectedEnd() throws InterruptedException {
        callerServer.awaitUnexpectedEnd();
        LOGGER.atSevere().log("%s ends: a thread that serves callers has ended unexpectedly", settings.name());
    }

    /**
     * Stops the daemon without interrupting a request: first the load balancer's check fails, then requests in flight
     * complete, then claims are handed over and the services stop. Requests that cannot be answered before the end are
     * refused; at the end those that are still in flight are answered as unknown. If a reply cannot be written it
     * returns with requests in flight and leaves the services running.
     */
    @Override
    public void close() {
        LOGGER.atInfo().log("%s starts draining", settings.name());
        long startMillis = MonotonicClock.millis();
        long deadlineMillis = kernel.get(ServiceNames.PLANNED_STOP).begin(startMillis);
        adminEndpoint.startDraining();
        callerServer.startDraining();
        ForwardedRequests forwardedRequests = kernel.get(ServiceNames.FORWARDED_REQUESTS);
        forwardedRequests.startDraining();
        // Peers choose other owners while this daemon still answers.
        kernel.get(ServiceNames.FLEET_SOURCE).announceLeaving();
        sleep(settings.drainMillis());
        callerServer.stopListening();
        awaitUntil(() -> !callerServer.isBusy() && !forwardedRequests.isBusy(), deadlineMillis);
        int givenUpRequests = callerServer.giveUpRequests();
        if (givenUpRequests > 0) {
            LOGGER.atWarning().log(
                    "%s ends with %d requests in flight after %d ms; their outcome is unknown",
                    settings.name(), givenUpRequests, deadlineMillis - startMillis);
            awaitUntil(() -> callerServer.requestsInFlight() == 0, deadlineMillis + LAST_REPLIES_MILLIS);
        }
        kernel.get(ServiceNames.CLAIM_KEEPER).handOverAll();
        if (callerServer.requestsInFlight() > 0) {
            // The platform is about to kill the process; an orderly stop of all services would take the remaining time.
            LOGGER.atWarning().log(
                    "%s stops with %d requests in flight after %d ms",
                    settings.name(), callerServer.requestsInFlight(), deadlineMillis - startMillis);
            return;
        }
        callerServer.close();
        kernel.close();
        LOGGER.atInfo().log("%s has stopped", settings.name());
    }

    private static void awaitUntil(BooleanSupplier condition, long deadlineMillis) {
        while (!condition.getAsBoolean() && MonotonicClock.millis() < deadlineMillis) {
            sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
    }

    private static <T> T parseBounds(Function<String, T> parser, ProxySettings settings) {
        try {
            return parser.apply(settings.platform().platformLimits());
        } catch (IllegalArgumentException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT, "platform-bounds: " + exception.getMessage(), exception);
        }
    }

    private static OwnerSettings ownerSettings(ProxySettings settings, Optional<PlatformAdapter> adapter) {
        Optional<RetryBudgetSettings> retryBudgetSettings =
                adapter.map(found -> parseBounds(found::parseRetryBudget, settings));
        HealthSettings health = HealthSettings.defaults();
        long suspicionMillis = settings.platform().suspicionMillis();
        SchedulerSettings scheduler = SchedulerSettings.defaults()
                .withSeparateLongWork(settings.separateLongWork())
                .withFairAdmission(settings.fairAdmission());
        return new OwnerSettings(
                suspicionMillis > 0
                        ? scheduler.withUnrepeatableProbeDelayMillis(UNREPEATABLE_PROBE_DELAY_MILLIS)
                        : scheduler,
                suspicionMillis > 0 ? health.withSuspicion(SuspicionSettings.of(suspicionMillis)) : health,
                retryBudgetSettings,
                longestStopMillis(adapter, settings));
    }

    /** Returns a kernel with the services that others use from their start on. */
    private static Kernel kernelOfShared(
            ProxySettings settings,
            ProxyMetrics metrics,
            FleetState fleet,
            KnownLeavingServers leavingServers,
            PeerClientPool clientPool,
            PeerTransport peerTransport) {
        return Kernel.create()
                .register(ServiceNames.SETTINGS, settings)
                .register(ServiceNames.METRICS, metrics)
                .register(ServiceNames.FLEET_STATE, fleet)
                .register(ServiceNames.LEAVING_SERVERS, leavingServers)
                .register(ServiceNames.PEER_CLIENTS, clientPool)
                .register(ServiceNames.PEER_TRANSPORT, peerTransport);
    }

    private static QuotaExchange newQuotas(
            ProxySettings settings,
            Optional<PlatformAdapter> adapter,
            Instance self,
            FleetState fleet,
            PeerTransport peerTransport,
            ProxyMetrics metrics) {
        return QuotaExchange.create(
                self, fleet, peerTransport, metrics, quotaBounds(settings, adapter), System.currentTimeMillis());
    }

    private static QuotaBounds quotaBounds(ProxySettings settings, Optional<PlatformAdapter> adapter) {
        return adapter.flatMap(found -> parseBounds(found::parseQuotaBounds, settings))
                .map(bounds -> new QuotaBounds(bounds.windowMillis(), bounds.overage(), bounds.slack()))
                .orElseGet(QuotaBounds::defaults);
    }

    private static FleetSource createFleetSource(
            Optional<PlatformAdapter> adapter,
            ProxySettings settings,
            Instance self,
            FleetState fleet,
            Replication replication,
            PeerTransport peerTransport,
            ProxyMetrics metrics) {
        return adapter.map(found -> createMetadataStoreSource(found, settings, self, replication, peerTransport))
                .orElseGet(() -> createPlatformWatch(settings, fleet, replication, metrics));
    }

    private static FleetSource createMetadataStoreSource(
            PlatformAdapter adapter,
            ProxySettings settings,
            Instance self,
            Replication replication,
            PeerTransport peerTransport) {
        PropagationTimes times = parseBounds(adapter::parsePropagationTimes, settings);
        return MetadataStoreFleetSource.create(
                adapter,
                adapter.openStore(settings.store()),
                self,
                MonotonicClock::millis,
                PeerStoreRelay.create(replication, peerTransport, times),
                times);
    }

    private static FleetSource createPlatformWatch(
            ProxySettings settings, FleetState fleet, Replication replication, ProxyMetrics metrics) {
        return PlatformWatch.create(
                StoreClient.create(settings.store()),
                InstanceListClient.create(settings.store()),
                fleet,
                replication,
                metrics);
    }

    private static KernelService fleetSourceService(FleetSource source, FleetStateUpdater updater) {
        return new KernelService() {
            @Override
            public void start(Kernel startedKernel) {
                source.start(updater);
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

    private static BackendClient newBackendClient(ProxySettings settings, HeaderConventions conventions) {
        BackendClientSettings defaults = BackendClientSettings.defaults();
        BackendClientSettings clientSettings = new BackendClientSettings(
                settings.platform().connectMillis().orElse(defaults.connectTimeoutMillis()),
                settings.limits().answerBytes(),
                defaults.maximumIdleConnectionsPerServer(),
                settings.platform().serverIdleMillis().orElse(defaults.maximumIdleMillis()),
                settings.platform().unrepeatableIdleMillis());
        return BackendClient.create(clientSettings, conventions, ResponseMemory.ofHeap());
    }

    private static KernelService connectionCleanupService(
            PeerClientPool clientPool, BackendClient backendClient, FleetState fleet) {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("idle-connections").daemon().factory());
        return new KernelService() {
            @Override
            public void start(Kernel startedKernel) {
                executor.scheduleAtFixedRate(
                        BackgroundTasks.guarded("idle peers", clientPool::closeIdleConnections),
                        1,
                        1,
                        TimeUnit.SECONDS);
                // Servers are replaced all day; otherwise the pools of former servers would stay in memory for ever.
                executor.scheduleAtFixedRate(
                        BackgroundTasks.guarded(
                                "former servers",
                                () -> backendClient.retainServers(fleet.view().serverAddresses())),
                        1,
                        1,
                        TimeUnit.MINUTES);
            }

            @Override
            public void stop() {
                executor.shutdownNow();
                clientPool.close();
                backendClient.close();
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
