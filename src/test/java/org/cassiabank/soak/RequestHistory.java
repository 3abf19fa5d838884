package org.cassiabank.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** What callers sent and got and what backend servers received and ran, with times in milliseconds. Thread-safe. */
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
     * A request of a caller.
     *
     * @param id its identifier
     * @param method the method
     * @param path the path
     * @param body the body
     * @param daemonNumber the index of the daemon that it was sent to
     * @param startNumber the number of the daemon's start
     * @param atMillis when its last byte was sent
     */
    record SentRequest(
            String id, String method, String path, String body, int daemonNumber, int startNumber, long atMillis) {
        boolean isOrder() {
            return path.startsWith("/order/");
        }
    }

    /**
     * The end of a request as its caller saw it.
     *
     * @param status the status, 0 if the connection ended without a response
     * @param isValid whether a success was whole, signed by its server and of this request
     * @param atMillis when it ended
     */
    record Completion(int status, boolean isValid, long atMillis) {}

    /**
     * A request at a server.
     *
     * @param service the service
     * @param server the server
     * @param isExecuted whether it ran
     * @param request method, path and body as they came
     * @param leavingMillis how long ago the server had announced its leaving, negative if it had not
     * @param atMillis when it came
     */
    record Arrival(
            String service, String server, boolean isExecuted, String request, long leavingMillis, long atMillis) {}
}
