package org.cassiabank.standin;

import io.jooby.Context;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The open connections of one backend stand-in, limited in number. Thread-safe.
 */
final class BackendConnections {
    /** The header that carries the number of the connection from Netty to the request handler. */
    static final String HEADER = "Cassiabank-Standin-Connection";

    private final int limit;
    private final Map<Long, BackendConnection> open = new ConcurrentHashMap<>();
    private final AtomicLong numbers = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();

    private BackendConnections(int limit) {
        this.limit = limit;
    }

    static BackendConnections create(int limit) {
        return new BackendConnections(limit);
    }

    long nextNumber() {
        return numbers.incrementAndGet();
    }

    boolean opened(BackendConnection connection) {
        if (open.size() >= limit) {
            refused.incrementAndGet();
            return false;
        }
        open.put(connection.number(), connection);
        return true;
    }

    void closed(BackendConnection connection) {
        open.remove(connection.number());
    }

    Optional<BackendConnection> of(Context context) {
        String number = context.header(HEADER).valueOrNull();
        return number == null ? Optional.empty() : Optional.ofNullable(open.get(Long.parseLong(number)));
    }

    int size() {
        return open.size();
    }

    long refused() {
        return refused.get();
    }

    /** Makes all connections silent for good but the one that carries the request for it. */
    void silence(Optional<BackendConnection> except) {
        for (BackendConnection connection : open.values()) {
            if (except.isEmpty() || except.get() != connection) {
                connection.silence();
            }
        }
    }
}
