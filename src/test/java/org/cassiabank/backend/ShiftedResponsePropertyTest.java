package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

/**
 * Guards against responses that are shifted on a kept connection: several requests follow one another, the server
 * writes responses twice or in advance at different moments, and what the client delivers for a request must be a whole
 * response that the server wrote for that request.
 */
class ShiftedResponsePropertyTest {
    /** The header with the number of a request in its scene. */
    private static final String NUMBER = "Number";

    private static final int MOST_REQUESTS = 5;
    private static final int LONG_BODY_BYTES = 300_000;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long LONG_IDLE_MILLIS = 60_000;
    private static final int MOST_WAITS = 40;

    /** When the server writes bytes that belong to no request, or answers the next one early. */
    enum Moment {
        BEHIND_THE_RESPONSE,
        WHILE_IDLE,
        WHILE_THE_NEXT_REQUEST_ARRIVES,
        AHEAD_OF_THE_NEXT_RESPONSE
    }

    /**
     * Bytes that the server writes after its response to a request.
     *
     * @param advance the response to the next request that the bytes are, if they are one
     */
    record Extra(Moment moment, String bytes, Optional<GeneratedResponse> advance) {}

    /**
     * One request and what the server writes for it.
     *
     * @param bodyBytes the length of the body of the request
     * @param idleMillis how long the caller waits before the next request
     */
    record Visit(
            String requestId,
            String method,
            int bodyBytes,
            GeneratedResponse response,
            Optional<Extra> extra,
            int idleMillis) {}

    /** The requests in their order. */
    record Scene(List<Visit> visits) {
        /** Returns the responses that the server may write for a request. */
        List<GeneratedResponse> responses(int index) {
            Stream<GeneratedResponse> advance =
                    index == 0 ? Stream.empty() : visits.get(index - 1).extra().flatMap(Extra::advance).stream();
            return Stream.concat(advance, Stream.of(visits.get(index).response()))
                    .toList();
        }

        @Override
        public String toString() {
            return visits.stream()
                    .map(visit -> visit.method() + " " + visit.requestId() + " with " + visit.bodyBytes()
                            + " bytes\n  " + visit.response() + "\n  "
                            + visit.extra()
                                    .map(extra -> extra.moment() + " [" + extra.bytes() + "]")
                                    .orElse("") + ", idle " + visit.idleMillis() + " ms")
                    .collect(Collectors.joining("\n"));
        }
    }

    @Provide
    Arbitrary<Scene> scenes() {
        return Arbitraries.randomValue(ShiftedResponsePropertyTest::newScene);
    }

    @Property(tries = 200, shrinking = ShrinkingMode.OFF, afterFailure = AfterFailureMode.RANDOM_SEED)
    void whatIsDeliveredIsAWholeResponseToTheSameRequest(@ForAll("scenes") Scene scene) throws Exception {
        try (BackendClient client = BackendClient.create(
                        new BackendClientSettings(1_000, 100_000, 4, LONG_IDLE_MILLIS, LONG_IDLE_MILLIS),
                        new PlatformLikeHeaderConventions(),
                        ResponseMemory.ofHeap());
                ScriptedServer server = new ScriptedServer(newScript(scene))) {
            for (int index = 0; index < scene.visits().size(); index++) {
                Visit visit = scene.visits().get(index);
                BackendResult result = client.send(BackendRequest.forAddress(
                        server.address(),
                        visit.method(),
                        "/",
                        Map.of(NUMBER, List.of(String.valueOf(index))),
                        new byte[visit.bodyBytes()],
                        visit.requestId(),
                        !visit.method().equals("POST"),
                        TIMEOUT_MILLIS));
                requireOwnResponse(scene, index, result);
                TimeUnit.MILLISECONDS.sleep(visit.idleMillis());
            }
        }
    }

    private static void requireOwnResponse(Scene scene, int index, BackendResult result) {
        String former = index == 0
                ? "no request"
                : scene.visits()
                        .get(index - 1)
                        .extra()
                        .map(extra -> extra.moment().name())
                        .orElse("nothing");
        Statistics.label("after").collect(former, result.getClass().getSimpleName());
        List<GeneratedResponse> candidates = scene.responses(index);
        switch (result) {
            case ResponseReceived response ->
                assertThat(candidates)
                        .as("request %d delivered as %d %s%n%s", index, response.status(), response.headers(), scene)
                        .anyMatch(candidate -> !candidate.notRun() && candidate.isDeliveredAs(response));
            case RequestShed shed ->
                assertThat(candidates).as("request %d shed%n%s", index, scene).anyMatch(GeneratedResponse::notRun);
            default -> assertThat(result).as("request %d%n%s", index, scene).isInstanceOf(NoValidResponse.class);
        }
    }

    private static Scene newScene(Random random) {
        List<Visit> visits = new ArrayList<>();
        int requests = 2 + random.nextInt(MOST_REQUESTS - 1);
        List<String> methods = IntStream.range(0, requests)
                .mapToObj(ignored -> GeneratedResponse.pick(random, List.of("GET", "GET", "POST", "HEAD")))
                .toList();
        List<String> requestIds = new ArrayList<>();
        for (int index = 0; index < requests; index++) {
            // A second attempt has the identifier of the first.
            boolean repeated = index > 0 && random.nextInt(5) == 0;
            requestIds.add(repeated ? GeneratedResponse.pick(random, requestIds) : "id-" + index);
        }
        for (int index = 0; index < requests; index++) {
            String method = methods.get(index);
            GeneratedResponse response =
                    GeneratedResponse.of(random, method, requestIds.get(index), "own-" + index, false);
            Optional<Extra> extra = index + 1 < requests && random.nextInt(4) > 0
                    ? Optional.of(newExtra(random, visits, response, methods.get(index + 1), requestIds.get(index + 1)))
                    : Optional.empty();
            int bodyBytes = !method.equals("POST") ? 0 : random.nextInt(3) == 0 ? LONG_BODY_BYTES : random.nextInt(100);
            visits.add(new Visit(
                    requestIds.get(index),
                    method,
                    bodyBytes,
                    response,
                    extra,
                    GeneratedResponse.pick(random, List.of(0, 0, 5, 30))));
        }
        return new Scene(List.copyOf(visits));
    }

    private static Extra newExtra(
            Random random,
            List<Visit> formerVisits,
            GeneratedResponse latest,
            String nextMethod,
            String nextRequestId) {
        Moment moment = Moment.values()[random.nextInt(Moment.values().length)];
        boolean nextIsKnown =
                moment == Moment.WHILE_THE_NEXT_REQUEST_ARRIVES || moment == Moment.AHEAD_OF_THE_NEXT_RESPONSE;
        if (nextIsKnown && random.nextInt(3) == 0) {
            GeneratedResponse advance = GeneratedResponse.of(random, nextMethod, nextRequestId, "advance", false);
            int cut = advance.cut(random);
            return random.nextBoolean()
                    ? new Extra(moment, advance.bytes(), Optional.of(advance))
                    : new Extra(moment, advance.bytes().substring(0, cut), wholeHead(advance, cut));
        }
        List<GeneratedResponse> written = Stream.concat(
                        formerVisits.stream().map(Visit::response), Stream.of(latest, latest))
                .toList();
        GeneratedResponse copied = GeneratedResponse.pick(random, written);
        int cut = copied.cut(random);
        String bytes =
                switch (random.nextInt(4)) {
                    case 0 -> copied.bytes().substring(0, cut);
                    case 1 -> copied.bytes().substring(cut);
                    // The body of a response that has none.
                    case 2 -> copied.body() + "}";
                    default -> copied.bytes();
                };
        return new Extra(moment, bytes, Optional.empty());
    }

    /** A refusal whose body breaks off is still one of the server; any other such response must not be delivered. */
    private static Optional<GeneratedResponse> wholeHead(GeneratedResponse response, int cut) {
        return Optional.of(response).filter(candidate -> cut >= candidate.headBytes());
    }

    private static ScriptedServer.Script newScript(Scene scene) {
        Map<Integer, Integer> latestByConnection = new ConcurrentHashMap<>();
        return (request, socket) -> {
            int index = Integer.parseInt(request.header(NUMBER));
            Visit visit = scene.visits().get(index);
            socket.setTcpNoDelay(true);
            Integer former = latestByConnection.put(request.connectionNumber(), index);
            if (former != null && former == index - 1) {
                scene.visits()
                        .get(former)
                        .extra()
                        .filter(extra -> extra.moment() == Moment.AHEAD_OF_THE_NEXT_RESPONSE)
                        .ifPresent(extra -> writeQuietly(socket, extra.bytes()));
            }
            Optional<Extra> extra = visit.extra();
            Moment moment = extra.map(Extra::moment).orElse(Moment.AHEAD_OF_THE_NEXT_RESPONSE);
            String bytes = extra.map(Extra::bytes).orElse("");
            switch (moment) {
                case BEHIND_THE_RESPONSE ->
                    ScriptedServer.write(socket, visit.response().bytes() + bytes);
                case WHILE_IDLE -> {
                    ScriptedServer.write(socket, visit.response().bytes());
                    TimeUnit.MILLISECONDS.sleep(3);
                    ScriptedServer.write(socket, bytes);
                }
                case WHILE_THE_NEXT_REQUEST_ARRIVES -> {
                    ScriptedServer.write(socket, visit.response().bytes());
                    for (int waits = 0;
                            waits < MOST_WAITS && socket.getInputStream().available() == 0;
                            waits++) {
                        TimeUnit.MILLISECONDS.sleep(1);
                    }
                    ScriptedServer.write(socket, bytes);
                }
                case AHEAD_OF_THE_NEXT_RESPONSE ->
                    ScriptedServer.write(socket, visit.response().bytes());
            }
        };
    }

    private static void writeQuietly(Socket socket, String bytes) {
        try {
            ScriptedServer.write(socket, bytes);
        } catch (IOException closed) {
            // The client has decided already.
        }
    }
}
