package org.cassiabank.proxy;

import java.util.Objects;
import java.util.function.Supplier;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.PeerReachability;
import org.cassiabank.peer.PeerCall;
import org.cassiabank.peer.PeerClientPool;

/**
 * Calls peers and records which of them did not answer, so that they can be skipped for some time. Thread-safe.
 */
final class PeerTransport {
    private final String selfName;
    private final PeerClientPool clientPool;
    private final PeerReachability reachability = PeerReachability.create();

    private PeerTransport(String selfName, PeerClientPool clientPool) {
        this.selfName = selfName;
        this.clientPool = clientPool;
    }

    static PeerTransport create(String selfName, PeerClientPool clientPool) {
        return new PeerTransport(
                Objects.requireNonNull(selfName, "selfName"), Objects.requireNonNull(clientPool, "clientPool"));
    }

    boolean isSelf(Instance peer) {
        return peer.name().equals(selfName);
    }

    boolean isReachable(Instance peer) {
        synchronized (reachability) {
            return reachability.isReachable(peer.name(), MonotonicClock.millis());
        }
    }

    /**
     * Calls a peer and records whether it answered.
     *
     * @param <R> the type of the result
     * @param peer the peer
     * @param kind the kind of the call, the label of the traffic metrics
     * @param timeoutMillis the timeout of the call in milliseconds
     * @param call the call
     * @return the result
     * @throws CassiabankException with {@link org.cassiabank.kernel.ErrorCode#PEER_UNAVAILABLE} if there is no reply
     */
    <R> R call(Instance peer, String kind, int timeoutMillis, PeerCall<R> call) {
        return recordReachability(peer, () -> clientPool.call(peer, kind, timeoutMillis, call));
    }

    /**
     * Calls a peer once on a new connection and records whether it answered.
     *
     * @param <R> the type of the result
     * @param peer the peer
     * @param kind the kind of the call, the label of the traffic metrics
     * @param connectTimeoutMillis the longest wait for the connection in milliseconds
     * @param timeoutMillis the longest wait for the reply in milliseconds
     * @param call the call, which reaches the peer at most once
     * @return the result
     * @throws CassiabankException with {@link org.cassiabank.kernel.ErrorCode#PEER_UNAVAILABLE} if the call has not
     *     been made, or {@link org.cassiabank.kernel.ErrorCode#PEER_REPLY_MISSING} if it may have been carried out
     */
    <R> R callOnce(Instance peer, String kind, int connectTimeoutMillis, int timeoutMillis, PeerCall<R> call) {
        return recordReachability(
                peer, () -> clientPool.callOnce(peer, kind, connectTimeoutMillis, timeoutMillis, call));
    }

    private <R> R recordReachability(Instance peer, Supplier<R> call) {
        try {
            R result = call.get();
            synchronized (reachability) {
                reachability.recordSuccess(peer.name(), MonotonicClock.millis());
            }
            return result;
        } catch (CassiabankException exception) {
            synchronized (reachability) {
                reachability.recordFailure(peer.name(), MonotonicClock.millis());
            }
            throw exception;
        }
    }
}
