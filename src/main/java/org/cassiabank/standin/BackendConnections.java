package org.cassiabank.standin;

import io.jooby.Context;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The open connections of one backend stand-in, up to a maximum number. Thread-safe.
 */
final class BackendConnections {
    /** The request header that passes the number of the connection from the Netty channel to the request handler. */
    static final String NUMBER_HEADER = "Cassiabank-Standin-Connection";

    private final int maximumConnections;
    private final Map<Long, BackendConnection> openByNumber = new ConcurrentHashMap<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final AtomicLong refusedConnections = new AtomicLong();

    private BackendConnections(int maximumConnections) {
        this.maximumConnections = maximumConnections;
    }

    static BackendConnections create(int maximumConnections) {
        return new BackendConnections(maximumConnections);
    }

    long nextNumber() {
        return lastNumber.incrementAndGet();
    }

    boolean tryAdd(BackendConnection connection) {
        if (openByNumber.size() >= maximumConnections) {
            refusedConnections.incrementAndGet();
            return false;
        }
        openByNumber.put(connection.number(), connection);
        return true;
    }

    void remove(BackendConnection connection) {
        openByNumber.remove(connection.number());
    }

    Optional<BackendConnection> connectionOf(Context context) {
        String number = context.header(NUMBER_HEADER).valueOrNull();
        return number == null ? Optional.empty() : Optional.ofNullable(openByNumber.get(Long.parseLong(number)));
    }

    int openConnections() {
        return openByNumber.size();
    }

    long refusedConnections() {
        return refusedConnections.get();
    }

    /** Makes all open connections silent for good, except the one that carries the control request. */
    void silenceAllExcept(Optional<BackendConnection> exempt) {
        for (BackendConnection connection : openByNumber.values()) {
            if (exempt.isEmpty() || exempt.get() != connection) {
                connection.silence();
            }
        }
    }
}
