package org.cassiabank.proxy;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.membership.ForwardingOrder;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.ServerStart;
import org.cassiabank.peer.PeerCall;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.ForwardedRequest;

/**
 * Passes requests on to peers while this daemon reaches no backend server. A peer carries out the request as one of its
 * own and does not pass it on again.
 */
final class RequestForwarder {
    /** The peers that are asked for one request; of those that are cut off too, most say so at once. */
    private static final int MAXIMUM_PEERS = 12;

    private static final int CONNECT_TIMEOUT_MILLIS = 150;

    /** Added to the remaining time of a request, at whose end the peer replies. */
    private static final int REPLY_SLACK_MILLIS = 200;

    /** Less time than this is not enough for a peer to carry out a request. */
    private static final long MINIMUM_REMAINING_MILLIS = 10;

    private static final int CANCEL_TIMEOUT_MILLIS = 500;

    private final String selfName;
    private final FleetState fleet;
    private final PeerTransport peerTransport;
    private final KnownLeavingServers leavingServers;
    private final ProxyMetrics metrics;
    private final ForwardingOrder order;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();

    private RequestForwarder(
            Instance self,
            FleetState fleet,
            PeerTransport peerTransport,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics) {
        this.selfName = self.name();
        this.fleet = fleet;
        this.peerTransport = peerTransport;
        this.leavingServers = leavingServers;
        this.metrics = metrics;
        this.order = ForwardingOrder.create(self.failureDomain());
    }

    static RequestForwarder create(
            Instance self,
            FleetState fleet,
            PeerTransport peerTransport,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics) {
        return new RequestForwarder(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peerTransport, "peerTransport"),
                Objects.requireNonNull(leavingServers, "leavingServers"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Passes a request on to one peer after the other until one carries it out.
     *
     * @param request returns the request, which has not run or may run again, with the present customer of its key;
     *     empty once its key has been withdrawn
     * @param repeatable whether the request may run more than once
     * @param attempts the attempts that may have reached a backend server already
     * @param deadlineMillis the deadline in milliseconds, on the monotonic clock
     * @param presence cancels the request at the peer when the caller disconnects
     * @param trace records the peers that were asked
     * @return the result, or whether the request may have run at a peer that did not reply
     */
    ForwardingResult forward(
            Supplier<Optional<CheckedRequest>> request,
            boolean repeatable,
            int attempts,
            long deadlineMillis,
            CallerPresence presence,
            RequestTrace trace) {
        boolean mayHaveRun = false;
        for (Instance peer : peersInOrder()) {
            long remainingMillis = deadlineMillis - MonotonicClock.millis();
            Optional<CheckedRequest> current = request.get();
            if (remainingMillis < MINIMUM_REMAINING_MILLIS || presence.isGone() || current.isEmpty()) {
                break;
            }
            String id = selfName + "-"
                    + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
            presence.onGone(() -> workers.execute(() -> cancel(peer, id)));
            ForwardedRequest message = newMessage(id, current.get(), remainingMillis, attempts);
            List<ServerStart> leaving = leavingServers.toTellPeers();
            if (!leaving.isEmpty()) {
                message.setLeavingServers(PeerMessageConverter.toStartedServers(leaving));
            }
            ForwardingResult result = forwardTo(peer, message, repeatable, trace);
            if (result.result().isPresent()) {
                return new ForwardingResult(result.result(), mayHaveRun);
            }
            mayHaveRun |= result.mayHaveRun();
        }
        return ForwardingResult.none(mayHaveRun);
    }

    private ForwardedRequest newMessage(String id, CheckedRequest request, long remainingMillis, int attempts) {
        CallerRequest callerRequest = request.request();
        ForwardedRequest message = new ForwardedRequest(
                id,
                callerRequest.method(),
                callerRequest.target(),
                callerRequest.headers(),
                ByteBuffer.wrap(callerRequest.body()),
                callerRequest.remoteAddress(),
                remainingMillis,
                attempts);
        message.setConfigurationRevision(fleet.revision());
        request.customer().ifPresent(message::setCustomer);
        return message;
    }

    private ForwardingResult forwardTo(
            Instance peer, ForwardedRequest message, boolean repeatable, RequestTrace trace) {
        ForwardedReply reply;
        try {
            int timeoutMillis = Math.toIntExact(message.getRemainingMillis() + REPLY_SLACK_MILLIS);
            reply = peerTransport.callOnce(
                    peer,
                    "forward",
                    CONNECT_TIMEOUT_MILLIS,
                    timeoutMillis,
                    PeerCall.withResultIfUnknown(
                            client -> message.isSetCustomer()
                                    ? client.forwardForCustomer(message)
                                    : client.forward(message),
                            ForwardedReply.declined("unknown-call")));
        } catch (CassiabankException exception) {
            record(peer, false, "no-reply", trace);
            // Without a connection nothing was sent; otherwise the request may have run.
            boolean mayHaveRun = exception.code() != ErrorCode.PEER_UNAVAILABLE;
            return mayHaveRun && !repeatable
                    ? ForwardingResult.of(RequestResult.unknown("peer-lost"))
                    : ForwardingResult.none(mayHaveRun);
        }
        // The server that responded to the peer may be one that this daemon must not use from now on.
        leavingServers.merge(PeerMessageConverter.leavingServers(reply), peer.name());
        Optional<RequestResult> result = PeerMessageConverter.toRequestResult(reply);
        record(peer, result.isPresent(), reply.getSetField().getFieldName(), trace);
        return new ForwardingResult(result, false);
    }

    private void record(Instance peer, boolean accepted, String outcome, RequestTrace trace) {
        trace.addStep("forward " + peer.name() + " " + outcome);
        metrics.recordForwardedRequest(outcome);
        synchronized (order) {
            if (accepted) {
                order.recordAccepted(peer.name(), MonotonicClock.millis());
            } else {
                order.recordDeclined(peer.name(), MonotonicClock.millis());
            }
        }
    }

    private List<Instance> peersInOrder() {
        List<Instance> peers = fleet.view().regionProxies().stream()
                .filter(peer -> !peerTransport.isSelf(peer) && peerTransport.isReachable(peer))
                .toList();
        synchronized (order) {
            return order.order(peers, MonotonicClock.millis(), ThreadLocalRandom.current()).stream()
                    .limit(MAXIMUM_PEERS)
                    .toList();
        }
    }

    private void cancel(Instance peer, String id) {
        try {
            peerTransport.call(peer, "cancel-forwarded", CANCEL_TIMEOUT_MILLIS, client -> {
                client.cancelForwarded(id);
                return true;
            });
        } catch (CassiabankException exception) {
            // The peer transport has recorded the failure; the request ends at its deadline.
            return;
        }
    }

    /**
     * What became of a request that was passed on.
     *
     * @param result the result, empty if no peer returned one
     * @param mayHaveRun whether the request may have run at a peer from which there is no result, beside the result of
     *     another one
     */
    record ForwardingResult(Optional<RequestResult> result, boolean mayHaveRun) {

        private static ForwardingResult of(RequestResult result) {
            return new ForwardingResult(Optional.of(result), false);
        }

        private static ForwardingResult none(boolean mayHaveRun) {
            return new ForwardingResult(Optional.empty(), mayHaveRun);
        }
    }
}
