package org.cassiabank.admission;

/**
 * A slot of a server that is granted to an entry proxy until it is reported or expires.
 */
final class Lease {
    private final long id;
    private final AdmissionRequest request;
    private final RouteCost routeCost;
    private final ServerState server;
    private final long grantedAtMillis;
    private final long expiresAtMillis;
    private final boolean suspectTest;
    private boolean longWork;

    Lease(
            long id,
            Ticket ticket,
            ServerState server,
            boolean suspectTest,
            boolean longWork,
            long expiresAtMillis,
            long nowMillis) {
        this.id = id;
        this.request = ticket.request();
        this.routeCost = ticket.routeCost();
        this.server = server;
        this.suspectTest = suspectTest;
        this.longWork = longWork;
        this.grantedAtMillis = nowMillis;
        this.expiresAtMillis = expiresAtMillis;
    }

    long id() {
        return id;
    }

    AdmissionRequest request() {
        return request;
    }

    RouteCost routeCost() {
        return routeCost;
    }

    ServerState server() {
        return server;
    }

    long grantedAtMillis() {
        return grantedAtMillis;
    }

    long expiresAtMillis() {
        return expiresAtMillis;
    }

    boolean isSuspectTest() {
        return suspectTest;
    }

    boolean isLongWork() {
        return longWork;
    }

    Granted toGranted(long leaseMillis, long hedgeDelayMillis) {
        SchedulableServer granted = server.schedulableServer();
        return new Granted(id, granted.name(), granted.address(), leaseMillis, hedgeDelayMillis);
    }

    InFlightAttempt toInFlightAttempt(long nowMillis) {
        return new InFlightAttempt(
                server.schedulableServer().name(),
                request().route(),
                request().digest(),
                (nowMillis - grantedAtMillis) * 1000);
    }

    CompletedLease toCompletedLease() {
        return new CompletedLease(
                server.schedulableServer().name(),
                request.route(),
                request.entryProxy(),
                request.digest(),
                grantedAtMillis,
                request.repeatable(),
                suspectTest);
    }

    void setLongWork(boolean value) {
        longWork = value;
    }
}
