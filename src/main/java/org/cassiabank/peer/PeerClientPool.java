package org.cassiabank.peer;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.membership.Instance;

/**
 * Calls peers over pooled connections, one call at a time on each connection.
 *
 * <p>Instances are safe for use by many threads.
 */
public final class PeerClientPool implements AutoCloseable {
    /** A short idle age bounds both the number of connections and how long one can go silent unnoticed. */
    private static final long MAXIMUM_IDLE_MILLIS = 2_000;

    private final PeerSocketFactories socketFactories;
    private final ControlTrafficRecorder trafficRecorder;
    private final Map<String, ConcurrentLinkedDeque<PeerConnection>> idle = new ConcurrentHashMap<>();

    private PeerClientPool(PeerSocketFactories socketFactories, ControlTrafficRecorder trafficRecorder) {
        this.socketFactories = socketFactories;
        this.trafficRecorder = trafficRecorder;
    }

    /**
     * Creates clients without open connections.
     *
     * @param socketFactories the factories of sockets
     * @param trafficRecorder counts the calls
     * @return the clients
     */
    public static PeerClientPool create(PeerSocketFactories socketFactories, ControlTrafficRecorder trafficRecorder) {
        return new PeerClientPool(
                Objects.requireNonNull(socketFactories, "socketFactories"),
                Objects.requireNonNull(trafficRecorder, "trafficRecorder"));
    }

    /**
     * Calls a peer. A call that fails on a pooled connection before its timeout is made again on a fresh one, because
     * the peer may have closed the pooled connection; every call of a peer may therefore arrive twice.
     *
     * @param <R> the type of the result
     * @param peer the peer
     * @param kind the kind of the message, for the counters
     * @param timeoutMillis the longest wait for the connection, and again for the reply, in milliseconds
     * @param call the call
     * @return the result
     * @throws CassiabankException with {@link ErrorCode#PEER_UNAVAILABLE} if the peer does not answer in time
     */
    public <R> R call(Instance peer, String kind, int timeoutMillis, PeerCall<R> call) {
        long start = nowMillis();
        PeerConnection pooled = takeIdle(peer);
        if (pooled != null) {
            try {
                return callOn(pooled, peer, kind, timeoutMillis, call);
            } catch (TException exception) {
                if (nowMillis() - start >= timeoutMillis) {
                    throw unavailable(peer, kind, exception);
                }
            }
        }
        try {
            PeerConnection fresh = PeerConnection.open(socketFactories, peer.host(), peer.port(), timeoutMillis);
            return callOn(fresh, peer, kind, timeoutMillis, call);
        } catch (TException exception) {
            throw unavailable(peer, kind, exception);
        }
    }

    /**
     * Closes connections that were idle for too long. Called once a second.
     */
    public void closeIdleConnections() {
        long oldest = nowMillis() - MAXIMUM_IDLE_MILLIS;
        for (ConcurrentLinkedDeque<PeerConnection> connections : idle.values()) {
            for (PeerConnection connection : connections) {
                if (connection.idleSinceMillis() < oldest && connections.remove(connection)) {
                    connection.close();
                }
            }
        }
        idle.values().removeIf(ConcurrentLinkedDeque::isEmpty);
    }

    @Override
    public void close() {
        idle.values().forEach(connections -> connections.forEach(PeerConnection::close));
        idle.clear();
    }

    private <R> R callOn(PeerConnection connection, Instance peer, String kind, int timeoutMillis, PeerCall<R> call)
            throws TException {
        try {
            R result = connection.call(call, timeoutMillis);
            trafficRecorder.record(kind, connection.bytesSent(), connection.bytesReceived());
            connection.markIdle(nowMillis());
            idle.computeIfAbsent(peer.address(), address -> new ConcurrentLinkedDeque<>())
                    .addFirst(connection);
            return result;
        } catch (TException | RuntimeException exception) {
            // A reply may still be under way, so the connection must not be used again.
            connection.close();
            throw exception;
        }
    }

    private PeerConnection takeIdle(Instance peer) {
        ConcurrentLinkedDeque<PeerConnection> connections = idle.get(peer.address());
        if (connections == null) {
            return null;
        }
        PeerConnection connection = connections.pollFirst();
        if (connection != null && nowMillis() - connection.idleSinceMillis() > MAXIMUM_IDLE_MILLIS) {
            connection.close();
            return null;
        }
        return connection;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static CassiabankException unavailable(Instance peer, String kind, TException cause) {
        return CassiabankException.withCause(
                ErrorCode.PEER_UNAVAILABLE,
                "peer " + peer.name() + " at " + peer.address() + " did not answer " + kind + ": " + cause.getMessage(),
                cause);
    }
}
