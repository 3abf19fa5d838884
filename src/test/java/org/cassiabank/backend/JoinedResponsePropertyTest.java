package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

/**
 * Guards against the delivery of a response that the server never gave: random responses are joined with others on one
 * connection, and what the client delivers must be one of them, whole. Also guards against the refusal of a response
 * that is whole.
 */
class JoinedResponsePropertyTest {
    private static final String ID = "id-1";
    private static final String FORMER_ID = "id-before";
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long LONG_IDLE_MILLIS = 60_000;
    private static final int LONGEST_STUTTER_BYTES = 400;
    private static final int LONGEST_BEGINNING_BYTES = 20;
    private static final int BYTES_READ_AT_ONCE = 8_192;

    /** How the bytes on the connection come about. */
    enum Form {
        CUT_THEN_RESPONSE,
        CUT_THEN_OTHER_BYTES,
        WRITTEN_INTO,
        AFTER_A_BUFFERED_PIECE,
        AFTER_A_LATE_PIECE,
        ALONE,
        ALONE_ON_A_KEPT_CONNECTION,
        FOLLOWED
    }

    /**
     * What a server writes in response to one request.
     *
     * @param before the response to a former request on the connection, if there is one
     * @param piece the bytes that follow that response
     * @param pieceIsLate whether they follow when the next request has arrived
     * @param responses the responses to the request; the client may deliver one of them
     * @param wholeHeads those of them whose head is written in one piece
     * @param bytes everything that the server writes in response to the request
     * @param pauses the positions in {@code bytes} behind which the server pauses, ascending
     * @param endsConnection whether the server ends the connection at last
     */
    record Scene(
            Form form,
            String method,
            boolean repeatable,
            Optional<GeneratedResponse> before,
            String piece,
            boolean pieceIsLate,
            List<GeneratedResponse> responses,
            List<GeneratedResponse> wholeHeads,
            String bytes,
            TreeSet<Integer> pauses,
            boolean endsConnection) {

        /** Adds a request to which the server responded on the connection before. */
        Scene after(GeneratedResponse former, String formerPiece, boolean isLate) {
            return new Scene(
                    form,
                    method,
                    repeatable,
                    Optional.of(former),
                    formerPiece,
                    isLate,
                    responses,
                    wholeHeads,
                    bytes,
                    pauses,
                    endsConnection);
        }

        String label() {
            return form + " " + method + " " + responses.getFirst().framing();
        }

        @Override
        public String toString() {
            return label() + ", pauses behind " + pauses + ", piece [" + piece + "]\nresponses "
                    + responses.stream().map(GeneratedResponse::toString).collect(Collectors.joining("\n"))
                    + "\nbytes [" + bytes + "]";
        }
    }

    @Provide
    Arbitrary<Scene> joined() {
        return Arbitraries.randomValue(JoinedResponsePropertyTest::newJoinedScene);
    }

    @Provide
    Arbitrary<Scene> whole() {
        return Arbitraries.randomValue(JoinedResponsePropertyTest::newWholeScene);
    }

    @Property(tries = 500, shrinking = ShrinkingMode.OFF, afterFailure = AfterFailureMode.RANDOM_SEED)
    void whatIsDeliveredIsOneResponseOfTheServer(@ForAll("joined") Scene scene) throws Exception {
        AtomicLong writeNanos = new AtomicLong();
        BackendResult result = play(scene, writeNanos);
        // The client waits for a second segment only for a limited time.
        Assume.that(scene.pauses().isEmpty() || writeNanos.get() < MeteredSocket.SECOND_SEGMENT_NANOS);
        Statistics.label("delivered").collect(scene.label(), isOneOf(scene, result));
        switch (result) {
            case ResponseReceived response ->
                assertThat(isOneOf(scene, result))
                        .as("%s%ndelivered as %d %s", scene, response.status(), response.headers())
                        .isTrue();
            case RequestShed shed ->
                assertThat(scene.wholeHeads()).as(scene.toString()).anyMatch(GeneratedResponse::notRun);
            default -> assertThat(result).isInstanceOf(NoValidResponse.class);
        }
    }

    @Property(tries = 400, shrinking = ShrinkingMode.OFF, afterFailure = AfterFailureMode.RANDOM_SEED)
    void aWholeResponseIsDelivered(@ForAll("whole") Scene scene) throws Exception {
        BackendResult result = play(scene, new AtomicLong());
        GeneratedResponse first = scene.responses().getFirst();
        boolean delivered = first.notRun()
                ? result instanceof RequestShed
                : result instanceof ResponseReceived response && first.isDeliveredAs(response);
        Statistics.label("delivered").collect(scene.label(), delivered);
        if (isContradictedRefusal(scene)) {
            // With a pause behind the refusal, the contradiction may come after the decision, and so may the end of the
            // head that a failure with the same status is told by, if not all of it is read at once.
            boolean mayBeLate = !scene.pauses().isEmpty()
                    || isFollowedBySameStatus(scene) && scene.bytes().length() > BYTES_READ_AT_ONCE;
            assertThat(result instanceof NoValidResponse || (delivered && mayBeLate))
                    .as("%s%nwas %s", scene, result)
                    .isTrue();
        } else {
            assertThat(delivered).as("%s%nwas %s", scene, result).isTrue();
        }
    }

    /**
     * Tells whether the server first refuses the request and then begins a response that is no refusal or has another
     * status, even an interim one.
     */
    private static boolean isContradictedRefusal(Scene scene) {
        GeneratedResponse first = scene.responses().getFirst();
        return first.notRun()
                && scene.responses().size() > 1
                && (!isFollowedBySameStatus(scene)
                        || !scene.responses().getLast().notRun());
    }

    /** Tells whether the second response begins with the status of the first. */
    private static boolean isFollowedBySameStatus(Scene scene) {
        return scene.responses()
                .getLast()
                .bytes()
                .startsWith("HTTP/1.1 " + scene.responses().getFirst().status());
    }

    private static boolean isOneOf(Scene scene, BackendResult result) {
        return result instanceof ResponseReceived response
                && scene.responses().stream()
                        .anyMatch(candidate -> candidate.requestId().equals(ID) && candidate.isDeliveredAs(response));
    }

    private static Scene newJoinedScene(Random random) {
        Form form = Form.values()[random.nextInt(Form.ALONE.ordinal())];
        String method = GeneratedResponse.pick(random, List.of("GET", "GET", "POST", "HEAD"));
        GeneratedResponse first = GeneratedResponse.of(random, method, ID, "first", true);
        return switch (form) {
            case CUT_THEN_RESPONSE -> {
                GeneratedResponse second =
                        GeneratedResponse.of(random, method, random.nextInt(3) == 0 ? FORMER_ID : ID, "second", true);
                int cut = joiningCut(random, first, second);
                yield newScene(
                        random,
                        form,
                        method,
                        List.of(first, second),
                        cut >= first.headBytes() ? List.of(first, second) : List.of(second),
                        first.bytes().length(),
                        first.bytes().substring(0, cut) + second.bytes());
            }
            case CUT_THEN_OTHER_BYTES -> {
                // Bytes that fill a body up to its exact end, or up to the end of the connection, cannot be told.
                GeneratedResponse cutResponse = GeneratedResponse.of(random, method, ID, "first", false);
                int cut = cutResponse.cut(random);
                String other = otherBytes(random, cutResponse.bytes().length() - cut + 1 + random.nextInt(100));
                boolean headIsWhole = cut >= cutResponse.headBytes();
                Scene scene = newScene(
                        random,
                        form,
                        method,
                        List.of(cutResponse),
                        headIsWhole ? List.of(cutResponse) : List.of(),
                        0,
                        cutResponse.bytes().substring(0, cut) + other);
                scene.pauses().clear();
                yield scene;
            }
            case WRITTEN_INTO -> {
                GeneratedResponse inner =
                        GeneratedResponse.of(random, method, random.nextInt(3) == 0 ? ID : FORMER_ID, "inner", false);
                int position = first.cut(random);
                boolean headIsWhole = position >= first.headBytes();
                yield newScene(
                        random,
                        form,
                        method,
                        List.of(first, inner),
                        headIsWhole ? List.of(first, inner) : List.of(inner),
                        first.bytes().length(),
                        first.bytes().substring(0, position)
                                + inner.bytes()
                                + first.bytes().substring(position));
            }
            default -> newSceneAfterAPiece(random, form, method, first);
        };
    }

    /** Returns a response on a connection on which a piece of the former response was written once more. */
    private static Scene newSceneAfterAPiece(Random random, Form form, String method, GeneratedResponse response) {
        GeneratedResponse former = GeneratedResponse.of(random, method, FORMER_ID, "former", false);
        int cut = former.cut(random);
        String piece = random.nextInt(4) == 0
                ? former.bytes().substring(cut)
                : former.bytes().substring(0, cut);
        return newScene(random, form, method, List.of(response), List.of(response), 0, response.bytes())
                .after(former, piece, form == Form.AFTER_A_LATE_PIECE);
    }

    /** Cuts the first response, often so that the beginning or a whole part of the second one fills it up. */
    private static int joiningCut(Random random, GeneratedResponse first, GeneratedResponse second) {
        int missingBytes =
                switch (random.nextInt(3)) {
                    case 0 -> GeneratedResponse.pick(random, second.ends());
                    case 1 -> 1 + random.nextInt(LONGEST_BEGINNING_BYTES);
                    default -> first.bytes().length() - first.cut(random);
                };
        return Math.max(0, first.bytes().length() - missingBytes);
    }

    private static Scene newWholeScene(Random random) {
        Form form = GeneratedResponse.pick(random, List.of(Form.ALONE, Form.ALONE_ON_A_KEPT_CONNECTION, Form.FOLLOWED));
        String method = GeneratedResponse.pick(random, List.of("GET", "GET", "POST", "HEAD"));
        GeneratedResponse first = GeneratedResponse.of(random, method, ID, "first", form != Form.FOLLOWED);
        return switch (form) {
            case ALONE -> newScene(random, form, method, List.of(first), List.of(first), 0, first.bytes());
            case FOLLOWED -> {
                GeneratedResponse second =
                        GeneratedResponse.of(random, method, random.nextInt(3) == 0 ? FORMER_ID : ID, "second", true);
                yield newScene(
                        random,
                        form,
                        method,
                        List.of(first, second),
                        List.of(first, second),
                        first.bytes().length(),
                        first.bytes() + second.bytes());
            }
            default ->
                newScene(random, form, method, List.of(first), List.of(first), 0, first.bytes())
                        .after(GeneratedResponse.of(random, method, FORMER_ID, "former", false), "", false);
        };
    }

    /** Creates a scene with pauses, often behind the byte that completes the first response or near it. */
    private static Scene newScene(
            Random random,
            Form form,
            String method,
            List<GeneratedResponse> responses,
            List<GeneratedResponse> wholeHeads,
            int firstEnd,
            String bytes) {
        TreeSet<Integer> pauses = new TreeSet<>();
        IntStream.range(0, Math.max(0, random.nextInt(5) - 2))
                .forEach(ignored -> pauses.add(
                        random.nextBoolean() && firstEnd > 0
                                ? firstEnd + (random.nextBoolean() ? 0 : random.nextInt(16))
                                : 1 + random.nextInt(bytes.length())));
        boolean endsConnection = form.ordinal() < Form.ALONE.ordinal()
                || responses.getFirst().framing() == GeneratedResponse.Framing.END_OF_CONNECTION
                || random.nextBoolean();
        return new Scene(
                form,
                method,
                !method.equals("POST") || random.nextBoolean(),
                Optional.empty(),
                "",
                false,
                responses,
                wholeHeads,
                bytes,
                pauses,
                endsConnection);
    }

    /** Returns bytes that begin no response. */
    private static String otherBytes(Random random, int length) {
        boolean stutter = random.nextBoolean();
        StringBuilder bytes = new StringBuilder(length);
        String repeated = "the rest of a body " + random.nextInt(LONGEST_STUTTER_BYTES) + "\r\n";
        while (bytes.length() < length) {
            bytes.append(stutter ? repeated : String.valueOf((char) random.nextInt(256)));
        }
        return bytes.charAt(0) == 'H' ? otherBytes(random, length) : bytes.toString();
    }

    /**
     * Plays a scene.
     *
     * @param writeNanos receives the time that the server took to write its response, in nanoseconds
     */
    private static BackendResult play(Scene scene, AtomicLong writeNanos) throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        try (BackendClient client = newClient();
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    long startNanos = System.nanoTime();
                    try {
                        respond(scene, request, socket);
                    } finally {
                        if (request.header("Cassiabank-Request-Id").equals(ID)) {
                            writeNanos.set(System.nanoTime() - startNanos);
                            written.countDown();
                        }
                    }
                })) {
            if (scene.before().isPresent()) {
                client.send(request(scene, server, FORMER_ID));
            }
            long startNanos = System.nanoTime();
            BackendResult result = client.send(request(scene, server, ID));
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .as(scene.toString())
                    .isLessThan(TIMEOUT_MILLIS + 1_000);
            assertThat(written.await(10, TimeUnit.SECONDS)).isTrue();
            return result;
        }
    }

    private static void respond(Scene scene, ScriptedServer.ReceivedRequest request, Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        if (request.header("Cassiabank-Request-Id").equals(FORMER_ID)) {
            String former = scene.before().orElseThrow().bytes();
            ScriptedServer.write(socket, scene.pieceIsLate() ? former : former + scene.piece());
            return;
        }
        boolean pieceIsDue = scene.pieceIsLate() && request.connectionNumber() == 1;
        writeWithPauses(socket, pieceIsDue ? scene.piece() + scene.bytes() : scene.bytes(), scene.pauses());
        if (scene.endsConnection()) {
            socket.shutdownOutput();
        }
    }

    private static void writeWithPauses(Socket socket, String bytes, TreeSet<Integer> pauses)
            throws IOException, InterruptedException {
        int position = 0;
        for (int pause : new ArrayList<>(pauses.headSet(bytes.length()))) {
            ScriptedServer.write(socket, bytes.substring(position, pause));
            TimeUnit.MILLISECONDS.sleep(2);
            position = pause;
        }
        ScriptedServer.write(socket, bytes.substring(position));
    }

    private static BackendClient newClient() {
        return BackendClient.create(
                new BackendClientSettings(1_000, 100_000, 4, LONG_IDLE_MILLIS, LONG_IDLE_MILLIS),
                new PlatformLikeHeaderConventions(),
                ResponseMemory.ofHeap());
    }

    private static BackendRequest request(Scene scene, ScriptedServer server, String requestId) {
        return BackendRequest.forAddress(
                server.address(),
                scene.method(),
                "/",
                Map.of(),
                new byte[0],
                requestId,
                scene.repeatable(),
                TIMEOUT_MILLIS);
    }
}
