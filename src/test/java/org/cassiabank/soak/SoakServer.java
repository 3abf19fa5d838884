package org.cassiabank.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/** A backend server with the protocol of the platform, which injects the faults that the protocol describes. */
final class SoakServer implements AutoCloseable {
    static final int SLOTS = 2;
    private static final int QUEUE_LENGTH = 4;
    /** The share of requests that a fault affects while it is set. */
    private static final double FAULTY_SHARE = 0.75;

    private static final int MINIMUM_WORK_MILLIS = 20;
    private static final int WORK_RANGE_MILLIS = 60;
    private static final int SLOW_FACTOR = 8;
    private static final String[] REFUSAL_STATUSES = {
        "503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"
    };

    private final String name;
    private final String service;
    private final int port;
    private final long bornMillis = System.currentTimeMillis();
    private final RequestHistory history;
    private final Consumer<SoakServer> onFatalRequest;
    private final Random random;
    private final ServerSocket listener;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger admittedRequests = new AtomicInteger();
    private volatile Fault fault = Fault.NONE;
    private volatile double rateLimit;
    private volatile long leavingSinceMillis = Long.MAX_VALUE;
    private volatile boolean announcesLeaving;

    private SoakServer(
            String name,
            String service,
            int port,
            RequestHistory history,
            long seed,
            Consumer<SoakServer> onFatalRequest)
            throws IOException {
        this.name = name;
        this.service = service;
        this.port = port;
        this.history = history;
        this.onFatalRequest = onFatalRequest;
        this.random = new Random(seed);
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
    }

    /**
     * Starts a server.
     *
     * @param onFatalRequest has to end the server when it begins to run a request for {@link SoakCaller#FATAL_PATH}
     */
    static SoakServer start(
            String name,
            String service,
            int port,
            RequestHistory history,
            long seed,
            Consumer<SoakServer> onFatalRequest)
            throws IOException {
        SoakServer server = new SoakServer(name, service, port, history, seed, onFatalRequest);
        Thread.ofVirtual().start(server::acceptConnections);
        return server;
    }

    String name() {
        return name;
    }

    String service() {
        return service;
    }

    int port() {
        return port;
    }

    long bornMillis() {
        return bornMillis;
    }

    void setFault(Fault newFault) {
        fault = newFault;
    }

    /** Names a limit of requests a second in all responses, 0 for none. */
    void setRateLimit(double newRequestsPerSecond) {
        rateLimit = newRequestsPerSecond;
    }

    /** Says in all responses that the server leaves, as its entry in the store does from now on. */
    void announceLeaving() {
        announceLeavingInResponses();
        leavingSinceMillis = RequestHistory.nowMillis();
    }

    /** Says in all responses that the server leaves, whatever its entry in the store says. */
    void announceLeavingInResponses() {
        announcesLeaving = true;
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                resetConnection(socket);
            }
        } catch (IOException ignored) {
            // The peer closed the socket first.
        }
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException ignored) {
                // The listener was closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            boolean staysOpen = true;
            while (staysOpen) {
                var request = WireMessage.read(input, false);
                staysOpen = request.isPresent() && request.get().isComplete() && handle(request.get(), socket);
            }
        } catch (IOException ignored) {
            // The daemon closed the connection.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean handle(WireMessage request, Socket socket) throws IOException, InterruptedException {
        OutputStream output = socket.getOutputStream();
        String id = request.header("request-id");
        if (!request.header("expect-instance").equals(name)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + name + "\r\n", "", Framing.LENGTH);
            return true;
        }
        long deadlineMillis = Long.parseLong(request.header("deadline-ms"));
        Fault requestFault = random.nextDouble() < FAULTY_SHARE ? fault : Fault.NONE;
        boolean isAdmitted = requestFault != Fault.SHED && admittedRequests.incrementAndGet() <= SLOTS + QUEUE_LENGTH;
        try {
            if (!isAdmitted || deadlineMillis <= 0 || !slots.tryAcquire(deadlineMillis, TimeUnit.MILLISECONDS)) {
                recordArrival(id, request, false);
                write(
                        output,
                        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + noticeHeaders(),
                        "",
                        Framing.LENGTH);
                return true;
            }
            try {
                recordArrival(id, request, true);
                if (request.startLine().contains(SoakCaller.FATAL_PATH)) {
                    onFatalRequest.accept(this);
                    return false;
                }
                int workMillis = MINIMUM_WORK_MILLIS + random.nextInt(WORK_RANGE_MILLIS);
                TimeUnit.MILLISECONDS.sleep(requestFault == Fault.SLOW ? SLOW_FACTOR * workMillis : workMillis);
            } finally {
                slots.release();
            }
            return sendResponse(requestFault, id, deadlineMillis, socket);
        } finally {
            if (requestFault != Fault.SHED) {
                admittedRequests.decrementAndGet();
            }
        }
    }

    private void recordArrival(String id, WireMessage request, boolean isExecuted) {
        String[] startLineParts = request.startLine().split(" ");
        String requestText =
                startLineParts[0] + " " + startLineParts[1] + " " + new String(request.body(), StandardCharsets.UTF_8);
        long leavingMillis =
                leavingSinceMillis == Long.MAX_VALUE ? -1 : RequestHistory.nowMillis() - leavingSinceMillis;
        history.recordArrival(
                id,
                new RequestHistory.Arrival(
                        service,
                        name,
                        isExecuted,
                        requestText,
                        leavingMillis,
                        announcesLeaving,
                        bornMillis,
                        RequestHistory.nowMillis()));
    }

    private boolean sendResponse(Fault requestFault, String id, long deadlineMillis, Socket socket)
            throws IOException, InterruptedException {
        OutputStream output = socket.getOutputStream();
        String body = id + " by " + name + " " + "x".repeat(random.nextInt(3_000));
        String headers = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + seal(id, body) + "\r\n"
                + noticeHeaders();
        switch (requestFault) {
            case NONE, SLOW, SHED -> {
                Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
                write(output, headers, body, framing);
                return framing != Framing.CLOSE;
            }
            case RESET -> resetConnection(socket);
            case TRUNCATED -> {
                byte[] message = (headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1);
                output.write(message, 0, message.length - body.length() / 2);
                resetConnection(socket);
            }
            case NO_RESPONSE -> TimeUnit.MILLISECONDS.sleep(2 * deadlineMillis);
            case SERVER_ERROR -> {
                write(output, headers.replace("200 OK", "500 Failed"), body, Framing.LENGTH);
                return true;
            }
            case UNPROVEN_REFUSAL -> {
                String status = REFUSAL_STATUSES[random.nextInt(REFUSAL_STATUSES.length)];
                write(output, headers.replace("200 OK", status), body, Framing.LENGTH);
                return true;
            }
            case EXTRA_RESPONSE -> {
                write(output, headers, body, Framing.LENGTH);
                write(output, headers.replace(id, "0000000000000000"), body, Framing.LENGTH);
                return true;
            }
        }
        return false;
    }

    private String noticeHeaders() {
        double limit = rateLimit;
        return (limit > 0 ? "Server-Limit: " + limit + "\r\n" : "") + (announcesLeaving ? "Server-Leaving: 1\r\n" : "");
    }

    /** Returns the header value Response-Seal: the hexadecimal CRC-32 of request id and body. */
    static String seal(String id, String body) {
        CRC32 checksum = new CRC32();
        checksum.update((id + body).getBytes(StandardCharsets.ISO_8859_1));
        return Long.toHexString(checksum.getValue());
    }

    private static void write(OutputStream output, String headers, String body, Framing framing) throws IOException {
        String message =
                switch (framing) {
                    case LENGTH -> headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                    case CHUNKED -> headers + "Transfer-Encoding: chunked\r\n\r\n" + toChunk(body) + "0\r\n\r\n";
                    case CLOSE -> headers + "Connection: close\r\n\r\n" + body;
                };
        output.write(message.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static String toChunk(String body) {
        return Integer.toHexString(body.length()).toLowerCase(Locale.ROOT) + "\r\n" + body + "\r\n";
    }

    private static void resetConnection(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** A fault that a server injects into a share of its requests. */
    enum Fault {
        NONE,
        RESET,
        TRUNCATED,
        NO_RESPONSE,
        SLOW,
        SERVER_ERROR,
        EXTRA_RESPONSE,
        SHED,
        /** Runs the request and responds with a status that promises the opposite, without the proving header. */
        UNPROVEN_REFUSAL
    }

    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }
}
