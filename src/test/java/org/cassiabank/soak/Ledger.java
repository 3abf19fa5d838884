package org.cassiabank.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What callers sent and got and what backend servers received and ran, with times in milliseconds. Thread-safe. */
final class Ledger {
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Map<String, Ended> ended = new ConcurrentHashMap<>();
    private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Long> left = new ConcurrentHashMap<>();

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void sent(Sent request) {
        sent.put(request.id(), request);
    }

    void ended(String id, int status, boolean proper) {
        ended.put(id, new Ended(status, proper, now()));
    }

    void left(String id) {
        left.put(id, now());
    }

    void arrived(String id, Arrival arrival) {
        arrivals.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(arrival);
    }

    Map<String, Sent> allSent() {
        return sent;
    }

    Map<String, List<Arrival>> allArrivals() {
        return arrivals;
    }

    Optional<Ended> end(String id) {
        return Optional.ofNullable(ended.get(id));
    }

    Optional<Long> leftAt(String id) {
        return Optional.ofNullable(left.get(id));
    }

    List<Arrival> arrivals(String id) {
        return arrivals.getOrDefault(id, List.of());
    }

    long runs(String id) {
        return arrivals(id).stream().filter(Arrival::ran).count();
    }

    /**
     * A request of a caller.
     *
     * @param id its identifier
     * @param method the method
     * @param path the path
     * @param body the body
     * @param daemon the index of the daemon that it was sent to
     * @param start the number of the daemon's start
     * @param atMillis when its last byte was sent
     */
    record Sent(String id, String method, String path, String body, int daemon, int start, long atMillis) {
        boolean isOrder() {
            return path.startsWith("/order/");
        }
    }

    /**
     * The end of a request as its caller saw it.
     *
     * @param status the status, 0 if the connection ended without a response
     * @param proper whether a success was whole, signed by its server and of this request
     * @param atMillis when it ended
     */
    record Ended(int status, boolean proper, long atMillis) {}

    /**
     * A request at a server.
     *
     * @param service the service
     * @param server the server
     * @param ran whether it ran
     * @param request method, path and body as they came
     * @param leavingMillis how long ago the server had announced its leaving, negative if it had not
     * @param atMillis when it came
     */
    record Arrival(String service, String server, boolean ran, String request, long leavingMillis, long atMillis) {}
}
