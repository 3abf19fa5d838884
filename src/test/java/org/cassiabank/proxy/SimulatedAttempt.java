package org.cassiabank.proxy;

/**
 * An attempt at a server in a simulation.
 *
 * @param call the request
 * @param leaseId the lease of its slot
 * @param server the name of the server
 * @param startedAtMillis when it was sent, in virtual milliseconds
 */
record SimulatedAttempt(SimulatedCall call, long leaseId, String server, double startedAtMillis) {}
