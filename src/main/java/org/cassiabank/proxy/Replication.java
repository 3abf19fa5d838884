package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;
import org.cassiabank.membership.InstanceListDelta;
import org.cassiabank.peer.generated.ChangeDocument;
import org.cassiabank.peer.generated.ExchangeReply;
import org.cassiabank.peer.generated.ExchangeRequest;
import org.cassiabank.peer.generated.InstanceListDocument;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.ExchangePlanner;
import org.cassiabank.source.FleetSource;

/**
 * Replicates the configuration and the instance list between the daemons: new ones are pushed to a few peers, and a
 * periodic exchange with a random peer reaches the daemons that a push missed.
 */
final class Replication implements KernelService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long EXCHANGE_INTERVAL_MILLIS = 1_000;
    private static final int EXCHANGE_TIMEOUT_MILLIS = 1_000;

    /** A list index that no list exceeds, so that neither side sends its list. */
    private static final long LIST_NOT_EXCHANGED = Long.MAX_VALUE;

    private final Instance self;
    private final FleetState fleet;
    private final PeerTransport peerTransport;
    private final ExecutorService pushExecutor = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService exchangeExecutor = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("exchange").daemon().factory());
    private FleetSource fleetSource;
    private volatile ExchangePlanner planner;
    private volatile boolean completeListNeeded;
    private volatile long lastExchangeMillis = MonotonicClock.millis();

    private Replication(Instance self, FleetState fleet, PeerTransport peerTransport) {
        this.self = self;
        this.fleet = fleet;
        this.peerTransport = peerTransport;
        this.planner = ExchangePlanner.of(self, fleet.view().instances());
    }

    static Replication create(Instance self, FleetState fleet, PeerTransport peerTransport) {
        return new Replication(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peerTransport, "peerTransport"));
    }

    @Override
    public void start(Kernel kernel) {
        fleetSource = kernel.get(ServiceNames.FLEET_SOURCE);
        fleet.addListener(this::updatePlannerAndPush);
        exchangeExecutor.scheduleAtFixedRate(
                BackgroundTasks.guarded("exchange", this::exchangeWithRandomPeer),
                ThreadLocalRandom.current().nextLong(EXCHANGE_INTERVAL_MILLIS),
                EXCHANGE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        exchangeExecutor.shutdownNow();
        pushExecutor.shutdownNow();
    }

    ExchangePlanner planner() {
        return planner;
    }

    /**
     * Tells whether no peer has answered an exchange for so long that this daemon has to read from the platform itself.
     *
     * @return true if this daemon is cut off from its peers
     */
    boolean isIsolated() {
        return ExchangePlanner.isIsolated(lastExchangeMillis, MonotonicClock.millis());
    }

    /**
     * Answers the exchange of a peer: installs what this daemon lacks, and returns what the peer lacks.
     *
     * @param request the peer's revision and list index, and the state that the peer expects this daemon to lack
     * @return this daemon's revision and list index, and the state that the peer lacks
     */
    ExchangeReply answerExchange(ExchangeRequest request) {
        installReceivedState(request.getInstances(), request.getSnapshot(), request.getChanges());
        ExchangeReply reply = new ExchangeReply(fleet.revision(), announcedListIndex());
        MissingState missing = missingStateSince(request.getRevision(), request.getListIndex());
        missing.changes().ifPresent(reply::setChanges);
        missing.snapshot().ifPresent(reply::setSnapshot);
        missing.instances().ifPresent(reply::setInstances);
        return reply;
    }

    private void updatePlannerAndPush(FleetView formerView, FleetView newView) {
        if (formerView.instances() != newView.instances()) {
            planner = ExchangePlanner.of(self, newView.instances());
        }
        long formerRevision = formerView.configuration().revision();
        long formerIndex = formerView.instances().index();
        if (formerRevision == 0 || formerIndex == 0) {
            // The first state of a daemon that has just started is not new to its peers.
            return;
        }
        if (fleetSource.isUpToDate()) {
            // The peers follow the same store themselves.
            return;
        }
        for (Instance target : planner.pushTargets(ThreadLocalRandom.current())) {
            pushExecutor.execute(BackgroundTasks.guarded("push", () -> exchange(target, formerRevision, formerIndex)));
        }
    }

    private void exchangeWithRandomPeer() {
        if (fleetSource.isUpToDate()) {
            lastExchangeMillis = MonotonicClock.millis();
            if (!fleetSource.isConfigurationSettled()) {
                planner.exchangePeer(ThreadLocalRandom.current()).ifPresent(this::exchangeConfiguration);
            }
            return;
        }
        planner.exchangePeer(ThreadLocalRandom.current())
                .ifPresent(peer -> exchange(
                        peer, fleet.revision(), fleet.view().instances().index()));
    }

    /** Exchanges state with a peer that is assumed to have the given revision and list index already. */
    private void exchange(Instance peer, long assumedRevision, long assumedIndex) {
        try {
            ExchangeReply reply = sendExchange(peer, announcedListIndex(), assumedRevision, assumedIndex);
            lastExchangeMillis = MonotonicClock.millis();
            installReceivedState(reply.getInstances(), reply.getSnapshot(), reply.getChanges());
            boolean peerIsBehind = reply.getRevision() < fleet.revision()
                    || reply.getListIndex() < fleet.view().instances().index();
            if (peerIsBehind) {
                sendExchange(peer, announcedListIndex(), reply.getRevision(), reply.getListIndex());
            }
        } catch (CassiabankException exception) {
            // The peer transport has recorded the failure, and the next exchange selects a peer at random again.
            return;
        }
    }

    /**
     * Exchanges only the configuration with a peer. A store that has come back from an older copy may lack a
     * configuration that it had accepted; that one stays in force, also at daemons that have only seen the copy.
     */
    private void exchangeConfiguration(Instance peer) {
        try {
            ExchangeReply reply = sendExchange(peer, LIST_NOT_EXCHANGED, fleet.revision(), LIST_NOT_EXCHANGED);
            installReceivedState(null, reply.getSnapshot(), reply.getChanges());
            if (reply.getRevision() < fleet.revision()) {
                sendExchange(peer, LIST_NOT_EXCHANGED, reply.getRevision(), LIST_NOT_EXCHANGED);
            }
        } catch (CassiabankException exception) {
            // The peer transport has recorded the failure, and the next exchange selects a peer at random again.
            return;
        }
    }

    /** Tells a peer this daemon's state, and what it lacks if it has the assumed revision and list index. */
    private ExchangeReply sendExchange(Instance peer, long announcedIndex, long assumedRevision, long assumedIndex) {
        ExchangeRequest request = new ExchangeRequest(self.name(), fleet.revision(), announcedIndex);
        MissingState missing = missingStateSince(assumedRevision, assumedIndex);
        missing.changes().ifPresent(request::setChanges);
        missing.snapshot().ifPresent(request::setSnapshot);
        missing.instances().ifPresent(request::setInstances);
        return peerTransport.call(peer, "exchange", EXCHANGE_TIMEOUT_MILLIS, client -> client.exchange(request));
    }

    private MissingState missingStateSince(long revision, long listIndex) {
        Optional<List<ChangeDocument>> changes = Optional.empty();
        Optional<ChangeDocument> snapshot = Optional.empty();
        if (revision < fleet.revision()) {
            changes = fleet.changesSince(revision).map(Replication::toDocuments);
            if (changes.isEmpty()) {
                snapshot = Optional.of(new ChangeDocument(fleet.revision(), ByteBuffer.wrap(fleet.snapshot())));
            }
        }
        Optional<InstanceListDocument> instances =
                listIndex < fleet.view().instances().index()
                        ? Optional.of(instanceListDocumentSince(listIndex))
                        : Optional.empty();
        return new MissingState(changes, snapshot, instances);
    }

    private InstanceListDocument instanceListDocumentSince(long listIndex) {
        InstanceList list = fleet.view().instances();
        // A difference is small; the complete list is the largest message between daemons.
        InstanceListDelta delta = fleet.instanceListDeltaSince(listIndex)
                .orElseGet(() -> new InstanceListDelta(
                        0, list.index(), List.copyOf(list.instances()), List.of(), list.digest()));
        return new InstanceListDocument(
                delta.index(),
                ByteBuffer.wrap(InstanceListCodec.toJson(delta.changed())),
                delta.baseIndex(),
                delta.removed(),
                delta.digest());
    }

    private void installInstanceList(InstanceListDocument document) {
        if (fleetSource.isUpToDate()) {
            // A peer that has just reached the store again still lists servers that have left, for a transition time.
            return;
        }
        boolean isWholeList = document.getBaseIndex() == 0;
        if (isWholeList) {
            completeListNeeded = false;
        }
        long currentIndex = fleet.view().instances().index();
        if (document.getIndex() <= currentIndex || document.getBaseIndex() > currentIndex) {
            return;
        }
        InstanceList receivedList = InstanceListCodec.parse(document.getIndex(), document.getDocument());
        if (isWholeList) {
            fleet.install(receivedList);
            return;
        }
        InstanceListDelta delta = new InstanceListDelta(
                document.getBaseIndex(),
                document.getIndex(),
                List.copyOf(receivedList.instances()),
                document.getRemoved(),
                document.getDigest());
        if (!fleet.apply(delta)
                && document.getIndex() > fleet.view().instances().index()) {
            // The difference does not fit this daemon's list, so the next exchange requests the complete list.
            completeListNeeded = true;
        }
    }

    /** Returns the index that peers are told; 0 makes them send the complete list. */
    private long announcedListIndex() {
        return completeListNeeded ? 0 : fleet.view().instances().index();
    }

    private void installReceivedState(
            InstanceListDocument instances, ChangeDocument snapshot, List<ChangeDocument> changes) {
        try {
            if (instances != null) {
                installInstanceList(instances);
            }
            if (snapshot != null && snapshot.getRevision() > fleet.revision()) {
                fleet.install(snapshot.getDocument());
            }
            if (changes != null) {
                fleet.apply(changes.stream()
                        .filter(change -> change.getRevision() > fleet.revision())
                        .map(change -> Change.fromDocument(change.getDocument()))
                        .toList());
            }
        } catch (CassiabankException exception) {
            LOGGER.atWarning().log("configuration or instance list from a peer rejected: %s", exception.getMessage());
        }
    }

    private static List<ChangeDocument> toDocuments(List<Change> changes) {
        List<ChangeDocument> documents = new ArrayList<>(changes.size());
        for (Change change : changes) {
            documents.add(new ChangeDocument(change.revision(), ByteBuffer.wrap(change.toDocument())));
        }
        return documents;
    }

    /**
     * The state that a peer lacks: the changes or, if they are no longer kept, the complete configuration; and the
     * instance list or its difference. Empty parts are up to date at the peer.
     */
    private record MissingState(
            Optional<List<ChangeDocument>> changes,
            Optional<ChangeDocument> snapshot,
            Optional<InstanceListDocument> instances) {}
}
