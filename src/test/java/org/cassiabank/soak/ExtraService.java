package org.cassiabank.soak;

import java.util.List;

/**
 * A service whose servers are not {@link SoakServer}s.
 *
 * @param name the name, from which the names of its servers are derived
 * @param ports the ports of its servers
 * @param slots the slots of each server
 * @param timeoutMillis the time of a request in milliseconds
 */
record ExtraService(String name, List<Integer> ports, int slots, int timeoutMillis) {

    ExtraService {
        ports = List.copyOf(ports);
    }

    /** Returns the prefix of the paths of requests that may run more than once. */
    String readPrefix() {
        return "/" + name + "/read/";
    }

    /** Returns the prefix of the paths of requests that may run only once. */
    String orderPrefix() {
        return "/" + name + "/order/";
    }
}
