package org.cassiabank.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A backend server that begins to run each request and then sends bytes until the caller closes the connection. */
final class EndlessServer implements AutoCloseable {
    private static final int BLOCK_BYTES = 65_536;
    private static final long TRICKLE_MILLIS = 50;
    private final Form form;
    private final Pace pace;
    private final ServerSocket listener;
    private final Map<String, List<Exchange>> exchangesById = new ConcurrentHashMap<>();

    private EndlessServer(Form form, Pace pace, ServerSocket listener) {
        this.form = form;
        this.pace = pace;
        this.listener = listener;
    }

    static EndlessServer start(Form form, Pace pace, int port) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
        EndlessServer server = new EndlessServer(form, pace, listener);
        Thread.ofVirtual().start(server::acceptConnections);
        return server;
    }

    Form form() {
        return form;
    }

    Pace pace() {
        return pace;
    }

    /** Returns what the server did with each request, by the identifier of the request. */
    Map<String, List<Exchange>> exchangesById() {
        return exchangesById;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException ignored) {
                // The listener was closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Optional<WireMessage> request = WireMessage.read(new BufferedInputStream(socket.getInputStream()), false);
            if (request.isEmpty() || !request.get().isComplete()) {
                return;
            }
            String id = request.get().header("request-id");
            Exchange exchange = new Exchange(RequestHistory.nowMillis());
            exchangesById
                    .computeIfAbsent(id, key -> new CopyOnWriteArrayList<>())
                    .add(exchange);
            try {
                writeWithoutEnd(id, socket.getOutputStream(), exchange);
            } catch (IOException exception) {
                exchange.closedMillis = RequestHistory.nowMillis();
            }
        } catch (IOException ignored) {
            // The daemon closed the connection before it had sent a request.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeWithoutEnd(String id, OutputStream output, Exchange exchange)
            throws IOException, InterruptedException {
        byte[] piece = bytes(form.repeated);
        byte[] block = bytes(form.repeated.repeat(Math.max(1, BLOCK_BYTES / form.repeated.length())));
        write(output, bytes(form.start(id)), exchange);
        while (pace == Pace.FAST || pace == Pace.BURST && exchange.writtenBytes < form.burstBytes) {
            write(output, block, exchange);
        }
        while (true) {
            TimeUnit.MILLISECONDS.sleep(TRICKLE_MILLIS);
            write(output, piece, exchange);
        }
    }

    private static void write(OutputStream output, byte[] bytes, Exchange exchange) throws IOException {
        output.write(bytes);
        exchange.writtenBytes += bytes.length;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One request at the server. */
    static final class Exchange {
        private final long receivedMillis;
        private volatile long writtenBytes;
        private volatile long closedMillis = Long.MAX_VALUE;

        private Exchange(long receivedMillis) {
            this.receivedMillis = receivedMillis;
        }

        long receivedMillis() {
            return receivedMillis;
        }

        /** Returns the bytes that were written, including those that the operating system still held. */
        long writtenBytes() {
            return writtenBytes;
        }

        /** Returns when the server saw that its connection was closed, {@link Long#MAX_VALUE} if it did not yet. */
        long closedMillis() {
            return closedMillis;
        }
    }

    /** How fast a server sends. */
    enum Pace {
        /** As fast as the caller reads. */
        FAST,
        /** A piece every {@value EndlessServer#TRICKLE_MILLIS} ms. */
        TRICKLE,
        /** Nearly as much as a caller accepts at once, and then a few bytes at a time. */
        BURST
    }

    /** What a server sends: a beginning, and then the same bytes again and again. */
    enum Form {
        GARBAGE("", "\u00d7}\u0003q\u00ff;", 240_000),
        ZEROS("", "\0", 240_000),
        STATUS_LINE("HTTP/1.1 200 ", "a", 240_000),
        STATUS_LINES("", "HTTP/1.1 200 OK\r\n", 240_000),
        HEADER_VALUE("HEADX-Long: ", "a", 240_000),
        HEADER_NAME("HEAD", "a", 240_000),
        HEADERS("HEAD", "X-Many: a\r\n", 240_000),
        SHORT_HEADERS("HEAD", "a:b\n", 240_000),
        INTERIM_RESPONSES("", "HTTP/1.1 100 Continue\r\n\r\n", 240_000),
        EARLY_HINTS("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 240_000),
        CHUNK_EXTENSION("HEADTransfer-Encoding: chunked\r\n\r\n5;", "a", 240_000),
        CHUNK_SIZE("HEADTransfer-Encoding: chunked\r\n\r\n", "0", 240_000),
        CHUNKS("HEADTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", 4_000_000),
        TRAILERS("HEADTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "a:b\n", 240_000),
        BODY_OF_DECLARED_LENGTH("HEADContent-Length: 9000000000000\r\n\r\n", "a", 4_000_000),
        BODY_UNTIL_CLOSE("HEADConnection: close\r\n\r\n", "a", 4_000_000),
        BYTES_BEHIND_RESPONSE("HEADContent-Length: 2\r\n\r\nok", "\u00d7", 4_000_000);

        private final String start;
        private final String repeated;
        private final long burstBytes;

        Form(String start, String repeated, long burstBytes) {
            this.start = start;
            this.repeated = repeated;
            this.burstBytes = burstBytes;
        }

        /** Tells whether the bytes without end follow a whole response, so that a success is true. */
        boolean beginsWithWholeResponse() {
            return this == BYTES_BEHIND_RESPONSE;
        }

        private String start(String id) {
            return start.replace(
                    "HEAD",
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + SoakServer.seal(id, "ok")
                            + "\r\n");
        }
    }
}
