package org.cassiabank.proxy;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.membership.ForwardingOrder;
import org.cassiabank.membership.Instance;
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
    private final ProxyMetrics metrics;
    private final ForwardingOrder order;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();

    private RequestForwarder(Instance self, FleetState fleet, PeerTransport peerTransport, ProxyMetrics metrics) {
        this.selfName = self.name();
        this.fleet = fleet;
        this.peerTransport = peerTransport;
        this.metrics = metrics;
        this.order = ForwardingOrder.create(self.failureDomain());
    }

    static RequestForwarder create(Instance self, FleetState fleet, PeerTransport peerTransport, ProxyMetrics metrics) {
        return new RequestForwarder(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peerTransport, "peerTransport"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Passes a request on to one peer after the other until one carries it out.
     *
     * @param request the request, which has not run, or may run again
     * @param repeatable whether the request may run more than once
     * @param attempts the attempts that may have reached a backend server already
     * @param deadlineMillis the deadline in milliseconds, on the monotonic clock
     * @param presence cancels the request at the peer when the caller disconnects
     * @param trace records the peers that were asked
     * @return the result; empty if no peer carried out the request, which has not run there
     */
    Optional<RequestResult> forward(
            CallerRequest request,
            boolean repeatable,
            int attempts,
            long deadlineMillis,
            CallerPresence presence,
            RequestTrace trace) {
        for (Instance peer : peersInOrder()) {
            long remainingMillis = deadlineMillis - MonotonicClock.millis();
            if (remainingMillis < MINIMUM_REMAINING_MILLIS || presence.isGone()) {
                return Optional.empty();
            }
            String id = selfName + "-"
                    + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
            presence.onGone(() -> workers.execute(() -> cancel(peer, id)));
            Optional<RequestResult> result = forwardTo(
                    peer,
                    new ForwardedRequest(
                            id,
                            request.method(),
                            request.target(),
                            request.headers(),
                            ByteBuffer.wrap(request.body()),
                            request.remoteAddress(),
                            remainingMillis,
                            attempts),
                    repeatable,
                    trace);
            if (result.isPresent()) {
                return result;
            }
        }
        return Optional.empty();
    }

    private Optional<RequestResult> forwardTo(
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
                            client -> client.forward(message), ForwardedReply.declined("unknown-call")));
        } catch (CassiabankException exception) {
            record(peer, false, "no-reply", trace);
            // Without a connection nothing was sent; otherwise an unrepeatable request may have run.
            return repeatable || exception.code() == ErrorCode.PEER_UNAVAILABLE
                    ? Optional.empty()
                    : Optional.of(RequestResult.unknown("peer-lost"));
        }
        Optional<RequestResult> result = PeerMessageConverter.toRequestResult(reply);
        record(peer, result.isPresent(), reply.getSetField().getFieldName(), trace);
        return result;
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
}
