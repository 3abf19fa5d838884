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
 * Spreads the configuration and the instance list between the daemons: newly learned ones are pushed to a few peers,
 * and a regular exchange with a random peer repairs what a push did not reach.
 */
final class Replication implements KernelService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long EXCHANGE_INTERVAL_MILLIS = 1_000;
    private static final int EXCHANGE_TIMEOUT_MILLIS = 1_000;

    private final Instance self;
    private final FleetState fleet;
    private final PeerCaller peerCaller;
    private final ExecutorService pushers = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService exchanger = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("exchange").daemon().factory());
    private FleetSource source;
    private volatile ExchangePlanner planner;
    private volatile boolean wholeListNeeded;
    private volatile long lastExchangeMillis = MonotonicClock.millis();

    private Replication(Instance self, FleetState fleet, PeerCaller peerCaller) {
        this.self = self;
        this.fleet = fleet;
        this.peerCaller = peerCaller;
        this.planner = ExchangePlanner.of(self, fleet.view().instances());
    }

    static Replication create(Instance self, FleetState fleet, PeerCaller peerCaller) {
        return new Replication(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peerCaller, "peerCaller"));
    }

    @Override
    public void start(Kernel kernel) {
        source = kernel.get(ServiceNames.FLEET_SOURCE);
        fleet.onChange(this::onChange);
        exchanger.scheduleAtFixedRate(
                PeriodicTasks.guarded("exchange", this::exchangeWithRandomPeer),
                ThreadLocalRandom.current().nextLong(EXCHANGE_INTERVAL_MILLIS),
                EXCHANGE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        exchanger.shutdownNow();
        pushers.shutdownNow();
    }

    ExchangePlanner planner() {
        return planner;
    }

    /**
     * Tells whether no peer has answered an exchange for so long that this daemon has to ask the platform itself.
     *
     * @return true if this daemon is on its own
     */
    boolean isIsolated() {
        return ExchangePlanner.isIsolated(lastExchangeMillis, MonotonicClock.millis());
    }

    /**
     * Answers the exchange of a peer: takes what the peer has more of, and returns what it lacks.
     *
     * @param request the peer's revision and index, and its news
     * @return what the peer lacks
     */
    ExchangeReply answer(ExchangeRequest request) {
        install(request.getInstances(), request.getSnapshot(), request.getChanges());
        ExchangeReply reply = new ExchangeReply(fleet.revision(), knownListIndex());
        News news = newsSince(request.getRevision(), request.getListIndex());
        news.changes().ifPresent(reply::setChanges);
        news.snapshot().ifPresent(reply::setSnapshot);
        news.instances().ifPresent(reply::setInstances);
        return reply;
    }

    private void onChange(FleetView former, FleetView view) {
        if (former.instances() != view.instances()) {
            planner = ExchangePlanner.of(self, view.instances());
        }
        long formerRevision = former.configuration().revision();
        long formerIndex = former.instances().index();
        if (formerRevision == 0 || formerIndex == 0) {
            // A daemon that has just started has no news for its peers.
            return;
        }
        if (source.isUpToDate()) {
            // The peers follow the same origin.
            return;
        }
        for (Instance target : planner.pushTargets(ThreadLocalRandom.current())) {
            pushers.execute(PeriodicTasks.guarded("push", () -> exchange(target, formerRevision, formerIndex)));
        }
    }

    private void exchangeWithRandomPeer() {
        if (source.isUpToDate()) {
            lastExchangeMillis = MonotonicClock.millis();
            return;
        }
        planner.exchangePeer(ThreadLocalRandom.current())
                .ifPresent(partner -> exchange(
                        partner, fleet.revision(), fleet.view().instances().index()));
    }

    /** Exchanges with a peer that is assumed to have the given revision and index already. */
    private void exchange(Instance peer, long assumedRevision, long assumedIndex) {
        try {
            ExchangeReply reply = send(peer, assumedRevision, assumedIndex);
            lastExchangeMillis = MonotonicClock.millis();
            install(reply.getInstances(), reply.getSnapshot(), reply.getChanges());
            boolean peerLacks = reply.getRevision() < fleet.revision()
                    || reply.getListIndex() < fleet.view().instances().index();
            if (peerLacks) {
                send(peer, reply.getRevision(), reply.getListIndex());
            }
        } catch (CassiabankException exception) {
            // The peer caller remembers the failure, and the next exchange is with another peer.
            return;
        }
    }

    private ExchangeReply send(Instance peer, long assumedRevision, long assumedIndex) {
        ExchangeRequest request = new ExchangeRequest(self.name(), fleet.revision(), knownListIndex());
        News news = newsSince(assumedRevision, assumedIndex);
        news.changes().ifPresent(request::setChanges);
        news.snapshot().ifPresent(request::setSnapshot);
        news.instances().ifPresent(request::setInstances);
        return peerCaller.call(peer, "exchange", EXCHANGE_TIMEOUT_MILLIS, client -> client.exchange(request));
    }

    private News newsSince(long revision, long listIndex) {
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
                        ? Optional.of(listDocumentSince(listIndex))
                        : Optional.empty();
        return new News(changes, snapshot, instances);
    }

    private InstanceListDocument listDocumentSince(long listIndex) {
        InstanceList list = fleet.view().instances();
        // Small differences spare peers the whole list, which is the largest message between daemons.
        InstanceListDelta delta = fleet.instancesSince(listIndex)
                .orElseGet(() -> new InstanceListDelta(
                        0, list.index(), List.copyOf(list.instances()), List.of(), list.digest()));
        return new InstanceListDocument(
                delta.index(),
                ByteBuffer.wrap(InstanceListCodec.toJson(delta.changed())),
                delta.baseIndex(),
                delta.removed(),
                delta.digest());
    }

    private void install(InstanceListDocument document) {
        if (source.isUpToDate()) {
            // A peer that has just reached the origin again lists servers that it keeps for now, although they have
            // left.
            return;
        }
        boolean whole = document.getBaseIndex() == 0;
        if (whole) {
            wholeListNeeded = false;
        }
        long ownIndex = fleet.view().instances().index();
        if (document.getIndex() <= ownIndex || document.getBaseIndex() > ownIndex) {
            return;
        }
        InstanceList content = InstanceListCodec.parse(document.getIndex(), document.getDocument());
        if (whole) {
            fleet.install(content);
            return;
        }
        InstanceListDelta delta = new InstanceListDelta(
                document.getBaseIndex(),
                document.getIndex(),
                List.copyOf(content.instances()),
                document.getRemoved(),
                document.getDigest());
        if (!fleet.apply(delta)
                && document.getIndex() > fleet.view().instances().index()) {
            // The difference does not fit this daemon's list, so the next exchange asks for the whole one.
            wholeListNeeded = true;
        }
    }

    private long knownListIndex() {
        return wholeListNeeded ? 0 : fleet.view().instances().index();
    }

    private void install(InstanceListDocument instances, ChangeDocument snapshot, List<ChangeDocument> changes) {
        try {
            if (instances != null) {
                install(instances);
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
            LOGGER.atWarning().log("news of a peer refused: %s", exception.getMessage());
        }
    }

    private static List<ChangeDocument> toDocuments(List<Change> changes) {
        List<ChangeDocument> documents = new ArrayList<>(changes.size());
        for (Change change : changes) {
            documents.add(new ChangeDocument(change.revision(), ByteBuffer.wrap(change.toDocument())));
        }
        return documents;
    }

    /** What a peer lacks: either the changes or, if they are no longer kept, the whole configuration. */
    private record News(
            Optional<List<ChangeDocument>> changes,
            Optional<ChangeDocument> snapshot,
            Optional<InstanceListDocument> instances) {}
}
