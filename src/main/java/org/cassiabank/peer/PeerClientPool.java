package org.cassiabank.peer;

import com.google.common.flogger.FluentLogger;
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
 * <p>Instances are thread-safe.
 */
public final class PeerClientPool implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** A short idle time limits the number of connections and the time for which a silent one stays undetected. */
    private static final long MAXIMUM_IDLE_MILLIS = 2_000;

    private static final int LOG_INTERVAL_SECONDS = 1;

    private final PeerSocketFactories socketFactories;
    private final ControlTrafficRecorder trafficRecorder;
    private final Map<String, ConcurrentLinkedDeque<PeerConnection>> idleConnectionsByAddress =
            new ConcurrentHashMap<>();

    private PeerClientPool(PeerSocketFactories socketFactories, ControlTrafficRecorder trafficRecorder) {
        this.socketFactories = socketFactories;
        this.trafficRecorder = trafficRecorder;
    }

    /**
     * Creates a pool without open connections.
     *
     * @param socketFactories the factories of the sockets to peers
     * @param trafficRecorder counts the calls and their bytes
     * @return the pool
     */
    public static PeerClientPool create(PeerSocketFactories socketFactories, ControlTrafficRecorder trafficRecorder) {
        return new PeerClientPool(
                Objects.requireNonNull(socketFactories, "socketFactories"),
                Objects.requireNonNull(trafficRecorder, "trafficRecorder"));
    }

    /**
     * Calls a peer. A call that fails on a pooled connection before its timeout is repeated on a new connection,
     * because the peer may have closed the pooled one. Every call may therefore reach the peer twice.
     *
     * @param <R> the type of the result
     * @param peer the peer
     * @param kind the kind of the call, for the traffic recorder
     * @param timeoutMillis the longest wait for the connection, and again for the reply, in milliseconds; a call that
     *     is repeated on a new connection has the rest of it
     * @param call the call, which must be safe to repeat
     * @return the result of the call
     * @throws CassiabankException with {@link ErrorCode#PEER_UNAVAILABLE} if the peer does not respond in time or the
     *     call fails
     */
    public <R> R call(Instance peer, String kind, int timeoutMillis, PeerCall<R> call) {
        long startMillis = nowMillis();
        int remainingMillis = timeoutMillis;
        PeerConnection pooled = pollIdleConnection(peer);
        if (pooled != null) {
            try {
                return callOn(pooled, peer, kind, timeoutMillis, call);
            } catch (TException exception) {
                remainingMillis = Math.toIntExact(Math.max(0, timeoutMillis - (nowMillis() - startMillis)));
                if (remainingMillis == 0) {
                    throw unavailable(peer, kind, exception);
                }
            }
        }
        try {
            PeerConnection fresh = PeerConnection.open(socketFactories, peer.host(), peer.port(), remainingMillis);
            return callOn(fresh, peer, kind, remainingMillis, call);
        } catch (TException exception) {
            throw unavailable(peer, kind, exception);
        }
    }

    /**
     * Calls a peer on a new connection, once. For calls that must not reach the peer twice.
     *
     * @param <R> the type of the result
     * @param peer the peer
     * @param kind the kind of the call, for the traffic recorder
     * @param connectTimeoutMillis the longest wait for the connection in milliseconds
     * @param timeoutMillis the longest wait for the reply in milliseconds
     * @param call the call
     * @return the result of the call
     * @throws CassiabankException with {@link ErrorCode#PEER_UNAVAILABLE} if the connection cannot be opened, so that
     *     the call has not been made; with {@link ErrorCode#PEER_REPLY_MISSING} if it may have been carried out
     */
    public <R> R callOnce(Instance peer, String kind, int connectTimeoutMillis, int timeoutMillis, PeerCall<R> call) {
        PeerConnection connection;
        try {
            connection = PeerConnection.open(socketFactories, peer.host(), peer.port(), connectTimeoutMillis);
        } catch (TException exception) {
            throw failure(ErrorCode.PEER_UNAVAILABLE, peer, kind, exception);
        }
        try {
            return callOn(connection, peer, kind, timeoutMillis, call);
        } catch (TException exception) {
            throw failure(ErrorCode.PEER_REPLY_MISSING, peer, kind, exception);
        }
    }

    /**
     * Closes connections that have been idle for more than 2 s. To be called once a second.
     */
    public void closeIdleConnections() {
        long oldestIdleSinceMillis = nowMillis() - MAXIMUM_IDLE_MILLIS;
        for (ConcurrentLinkedDeque<PeerConnection> connections : idleConnectionsByAddress.values()) {
            for (PeerConnection connection : connections) {
                if (connection.idleSinceMillis() < oldestIdleSinceMillis && connections.remove(connection)) {
                    connection.close();
                }
            }
        }
        for (String address : idleConnectionsByAddress.keySet()) {
            idleConnectionsByAddress.computeIfPresent(
                    address, (key, connections) -> connections.isEmpty() ? null : connections);
        }
    }

    @Override
    public void close() {
        idleConnectionsByAddress.values().forEach(connections -> connections.forEach(PeerConnection::close));
        idleConnectionsByAddress.clear();
    }

    private <R> R callOn(PeerConnection connection, Instance peer, String kind, int timeoutMillis, PeerCall<R> call)
            throws TException {
        try {
            R result = connection.call(call, timeoutMillis);
            trafficRecorder.record(kind, connection.bytesSent(), connection.bytesReceived());
            if (connection.hasUnreadBytes()) {
                logUnreadBytes(peer, "behind the reply to call " + kind);
                connection.close();
                return result;
            }
            connection.markIdle(nowMillis());
            // Within compute, because closeIdleConnections removes empty lists in the same way.
            idleConnectionsByAddress.compute(peer.address(), (address, connections) -> {
                ConcurrentLinkedDeque<PeerConnection> idle =
                        connections == null ? new ConcurrentLinkedDeque<>() : connections;
                idle.addFirst(connection);
                return idle;
            });
            return result;
        } catch (TException | RuntimeException exception) {
            // A late reply may still arrive on the connection, so it must not be used again.
            connection.close();
            throw exception;
        }
    }

    private PeerConnection pollIdleConnection(Instance peer) {
        ConcurrentLinkedDeque<PeerConnection> connections = idleConnectionsByAddress.get(peer.address());
        if (connections == null) {
            return null;
        }
        PeerConnection connection = connections.pollFirst();
        if (connection != null && !isUsable(connection, peer)) {
            connection.close();
            return null;
        }
        return connection;
    }

    private static boolean isUsable(PeerConnection connection, Instance peer) {
        if (nowMillis() - connection.idleSinceMillis() > MAXIMUM_IDLE_MILLIS) {
            return false;
        }
        boolean hasUnreadBytes = connection.hasUnreadBytes();
        if (hasUnreadBytes) {
            logUnreadBytes(peer, "while the connection was idle");
        }
        return !hasUnreadBytes;
    }

    private static void logUnreadBytes(Instance peer, String moment) {
        LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "peer %s at %s sent bytes that belong to no call %s; the connection is closed",
                peer.name(), peer.address(), moment);
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static CassiabankException unavailable(Instance peer, String kind, TException cause) {
        return failure(ErrorCode.PEER_UNAVAILABLE, peer, kind, cause);
    }

    private static CassiabankException failure(ErrorCode code, Instance peer, String kind, TException cause) {
        return CassiabankException.withCause(
                code,
                "peer " + peer.name() + " at " + peer.address() + " did not complete call " + kind + ": "
                        + cause.getMessage(),
                cause);
    }
}
