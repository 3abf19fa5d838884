package org.cassiabank.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records which requests callers sent, how these ended, and which requests backend servers received and ran. Times are
 * in milliseconds by {@link #nowMillis()}. Thread-safe.
 */
final class RequestHistory {
    private final Map<String, SentRequest> sentById = new ConcurrentHashMap<>();
    private final Map<String, Completion> completionsById = new ConcurrentHashMap<>();
    private final Map<String, List<Arrival>> arrivalsById = new ConcurrentHashMap<>();
    private final Map<String, Long> abandonedMillisById = new ConcurrentHashMap<>();

    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    void recordSent(SentRequest request) {
        sentById.put(request.id(), request);
    }

    void recordCompleted(String id, int status, boolean isValid) {
        completionsById.put(id, new Completion(status, isValid, nowMillis()));
    }

    void recordAbandoned(String id) {
        abandonedMillisById.put(id, nowMillis());
    }

    void recordArrival(String id, Arrival arrival) {
        arrivalsById.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(arrival);
    }

    Map<String, SentRequest> sentRequests() {
        return sentById;
    }

    Map<String, List<Arrival>> arrivalsById() {
        return arrivalsById;
    }

    Optional<Completion> completion(String id) {
        return Optional.ofNullable(completionsById.get(id));
    }

    Optional<Long> abandonedAtMillis(String id) {
        return Optional.ofNullable(abandonedMillisById.get(id));
    }

    List<Arrival> arrivals(String id) {
        return arrivalsById.getOrDefault(id, List.of());
    }

    long countExecutions(String id) {
        return arrivals(id).stream().filter(Arrival::isExecuted).count();
    }

    /**
     * A request that a caller sent to a daemon.
     *
     * @param id the value of its header Request-Id
     * @param method the HTTP method
     * @param path the path
     * @param body the body, empty if there is none
     * @param daemonNumber the index of the daemon that it was sent to
     * @param startNumber the number of starts of the daemon until then
     * @param atMillis the time just before it was sent
     */
    record SentRequest(
            String id, String method, String path, String body, int daemonNumber, int startNumber, long atMillis) {
        boolean isOrder() {
            return path.startsWith("/order/");
        }
    }

    /**
     * The end of a request as its caller observed it.
     *
     * @param status the HTTP status, 0 if the connection ended without a complete response
     * @param isValid false if a success has the request id or the checksum of another response
     * @param atMillis the time at which it ended
     */
    record Completion(int status, boolean isValid, long atMillis) {}

    /**
     * A request that a backend server received.
     *
     * @param service the name of the service
     * @param server the name of the server
     * @param isExecuted whether it was run
     * @param request method, path and body as received, separated by blanks
     * @param leavingMillis the time since the server announced that it leaves, negative if it did not
     * @param isAnnounced whether the responses of the server say that it leaves
     * @param bornMillis the start of the server
     * @param atMillis the time at which it was received
     */
    record Arrival(
            String service,
            String server,
            boolean isExecuted,
            String request,
            long leavingMillis,
            boolean isAnnounced,
            long bornMillis,
            long atMillis) {}
}
