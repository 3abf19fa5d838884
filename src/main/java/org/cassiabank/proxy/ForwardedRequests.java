package org.cassiabank.proxy;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.ForwardedRequest;

/**
 * Carries out requests that peers pass on because they reach no backend server.
 */
final class ForwardedRequests {
    /** The bodies of forwarded requests may take this part of the heap. */
    private static final int HEAP_PARTS = 16;

    private final ForwardedRequestHandler requestHandler;
    private final BooleanSupplier cutOffFromServers;
    private final KnownLeavingServers leavingServers;
    private final long maximumBodyBytes;
    private final AtomicLong bodyBytes = new AtomicLong();
    private final Map<String, CallerPresence> presencesById = new ConcurrentHashMap<>();
    private volatile boolean draining;

    private ForwardedRequests(
            ForwardedRequestHandler requestHandler,
            BooleanSupplier cutOffFromServers,
            KnownLeavingServers leavingServers,
            long maximumBodyBytes) {
        this.requestHandler = requestHandler;
        this.cutOffFromServers = cutOffFromServers;
        this.leavingServers = leavingServers;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    static ForwardedRequests create(
            ForwardedRequestHandler requestHandler,
            BooleanSupplier cutOffFromServers,
            KnownLeavingServers leavingServers) {
        return create(
                requestHandler,
                cutOffFromServers,
                leavingServers,
                Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    static ForwardedRequests create(
            ForwardedRequestHandler requestHandler,
            BooleanSupplier cutOffFromServers,
            KnownLeavingServers leavingServers,
            long maximumBodyBytes) {
        return new ForwardedRequests(
                Objects.requireNonNull(requestHandler, "requestHandler"),
                Objects.requireNonNull(cutOffFromServers, "cutOffFromServers"),
                Objects.requireNonNull(leavingServers, "leavingServers"),
                maximumBodyBytes);
    }

    /** Declines further requests. */
    void startDraining() {
        draining = true;
    }

    boolean isBusy() {
        return !presencesById.isEmpty();
    }

    /**
     * Carries out a request, or declines it without having run it.
     *
     * @param message the request of a peer
     * @return the reply to the peer
     */
    ForwardedReply carryOut(ForwardedRequest message) {
        return carryOut(message, Optional.empty());
    }

    /**
     * Carries out a request of a customer whose key the peer has checked, or declines it without having run it.
     *
     * @param message the request of a peer, with the customer and the revision of the configuration
     * @return the reply to the peer; declined also if the customer or the revision is missing
     */
    ForwardedReply carryOutForCustomer(ForwardedRequest message) {
        return message.isSetCustomer() && message.isSetConfigurationRevision()
                ? carryOut(message, Optional.of(message.getCustomer()))
                : ForwardedReply.declined("no-customer");
    }

    private ForwardedReply carryOut(ForwardedRequest message, Optional<String> customer) {
        if (draining) {
            return ForwardedReply.declined("draining");
        }
        if (cutOffFromServers.getAsBoolean()) {
            return ForwardedReply.declined("cut-off");
        }
        leavingServers.merge(
                PeerMessageConverter.toServerStarts(message.getLeavingServers()),
                "that passed on request " + message.getId());
        CallerRequest request = PeerMessageConverter.toCallerRequest(message);
        int size = request.body().length;
        CallerPresence presence = CallerPresence.create();
        presencesById.put(message.getId(), presence);
        try {
            if (bodyBytes.addAndGet(size) > maximumBodyBytes) {
                return ForwardedReply.declined("busy");
            }
            OptionalLong configurationRevision = message.isSetConfigurationRevision()
                    ? OptionalLong.of(message.getConfigurationRevision())
                    : OptionalLong.empty();
            Optional<RequestResult> result = requestHandler.runForwarded(
                    request,
                    message.getRemainingMillis(),
                    message.getAttempts(),
                    configurationRevision,
                    customer,
                    presence);
            return result.map(found -> PeerMessageConverter.toMessage(found, leavingServers.toTellPeers()))
                    .orElseGet(() -> ForwardedReply.declined("not-run"));
        } finally {
            bodyBytes.addAndGet(-size);
            presencesById.remove(message.getId());
        }
    }

    /** Ends a request whose caller has gone; does nothing if it has ended. */
    void cancel(String id) {
        CallerPresence presence = presencesById.get(id);
        if (presence != null) {
            presence.markGone();
        }
    }
}
