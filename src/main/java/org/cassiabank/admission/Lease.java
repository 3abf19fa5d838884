package org.cassiabank.admission;

/**
 * A slot of a server that is held by an entry proxy.
 */
final class Lease {
    private final long number;
    private final AdmissionRequest request;
    private final RouteCost route;
    private final ServerState server;
    private final long grantedAt;
    private final long expiresAt;
    private boolean longWork;

    Lease(long number, Ticket ticket, ServerState server, boolean longWork, long expiresAt, long nowMillis) {
        this.number = number;
        this.request = ticket.request();
        this.route = ticket.route();
        this.server = server;
        this.longWork = longWork;
        this.grantedAt = nowMillis;
        this.expiresAt = expiresAt;
    }

    long number() {
        return number;
    }

    AdmissionRequest request() {
        return request;
    }

    RouteCost route() {
        return route;
    }

    ServerState server() {
        return server;
    }

    long grantedAt() {
        return grantedAt;
    }

    long expiresAt() {
        return expiresAt;
    }

    boolean isLong() {
        return longWork;
    }

    void setLong(boolean value) {
        longWork = value;
    }
}
