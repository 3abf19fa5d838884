package org.cassiabank.proxy;

import java.util.Objects;
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
        try {
            R result = clientPool.call(peer, kind, timeoutMillis, call);
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
