package org.cassiabank.proxy;

import java.util.Objects;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.PeerEvidence;
import org.cassiabank.peer.PeerCall;
import org.cassiabank.peer.PeerClients;

/**
 * Calls peers and remembers which of them did not answer, so that they are skipped for a while.
 */
final class PeerDirectory {
    private final String self;
    private final PeerClients clients;
    private final PeerEvidence evidence = PeerEvidence.create();

    private PeerDirectory(String self, PeerClients clients) {
        this.self = self;
        this.clients = clients;
    }

    static PeerDirectory create(String self, PeerClients clients) {
        return new PeerDirectory(Objects.requireNonNull(self, "self"), Objects.requireNonNull(clients, "clients"));
    }

    boolean isSelf(Instance peer) {
        return peer.name().equals(self);
    }

    boolean isReachable(Instance peer) {
        synchronized (evidence) {
            return evidence.isReachable(peer.name(), MonotonicClock.millis());
        }
    }

    /**
     * Calls a peer and records whether it answered.
     *
     * @param <R> the type of the result
     * @param peer the peer
     * @param kind the kind of the message, for the counters
     * @param timeoutMillis the longest wait in milliseconds
     * @param call the call
     * @return the result
     * @throws CassiabankException with {@link org.cassiabank.kernel.ErrorCode#PEER_UNAVAILABLE} if there is no answer
     */
    <R> R call(Instance peer, String kind, int timeoutMillis, PeerCall<R> call) {
        try {
            R result = clients.call(peer, kind, timeoutMillis, call);
            synchronized (evidence) {
                evidence.recordSuccess(peer.name(), MonotonicClock.millis());
            }
            return result;
        } catch (CassiabankException exception) {
            synchronized (evidence) {
                evidence.recordFailure(peer.name(), MonotonicClock.millis());
            }
            throw exception;
        }
    }
}
