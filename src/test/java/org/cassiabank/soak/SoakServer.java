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
import java.util.zip.CRC32;

/** A backend server that speaks the platform's protocol and fails in the ways that the protocol names. */
final class SoakServer implements AutoCloseable {
    static final int SLOTS = 2;
    private static final int QUEUE = 4;
    private static final double FAULTY_SHARE = 0.75;
    private static final int SHORTEST_WORK_MILLIS = 20;
    private static final int WORK_SPREAD_MILLIS = 60;
    private static final int SLOW_FACTOR = 8;

    private final String name;
    private final String service;
    private final int port;
    private final long born = System.currentTimeMillis();
    private final Ledger ledger;
    private final Random random;
    private final ServerSocket listener;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger present = new AtomicInteger();
    private volatile Fault fault = Fault.NONE;
    private volatile long leavingSince = Long.MAX_VALUE;

    private SoakServer(String name, String service, int port, Ledger ledger, long seed) throws IOException {
        this.name = name;
        this.service = service;
        this.port = port;
        this.ledger = ledger;
        this.random = new Random(seed);
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
    }

    static SoakServer start(String name, String service, int port, Ledger ledger, long seed) throws IOException {
        SoakServer server = new SoakServer(name, service, port, ledger, seed);
        Thread.ofVirtual().start(server::accept);
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

    long born() {
        return born;
    }

    void fail(Fault next) {
        fault = next;
    }

    void announceLeaving() {
        leavingSince = Ledger.now();
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                reset(socket);
            }
        } catch (IOException ignored) {
            // The socket was closed by its other side.
        }
    }

    private void accept() {
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
            boolean goesOn = true;
            while (goesOn) {
                var request = WireMessage.read(input, false);
                goesOn = request.isPresent() && request.get().complete() && answer(request.get(), socket);
            }
        } catch (IOException ignored) {
            // The daemon closed the connection.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean answer(WireMessage request, Socket socket) throws IOException, InterruptedException {
        OutputStream output = socket.getOutputStream();
        String id = request.header("request-id");
        if (!request.header("expect-instance").equals(name)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + name + "\r\n", "", Framing.LENGTH);
            return true;
        }
        long deadline = Long.parseLong(request.header("deadline-ms"));
        Fault current = random.nextDouble() < FAULTY_SHARE ? fault : Fault.NONE;
        boolean admitted = current != Fault.SHED && present.incrementAndGet() <= SLOTS + QUEUE;
        try {
            if (!admitted || deadline <= 0 || !slots.tryAcquire(deadline, TimeUnit.MILLISECONDS)) {
                arrived(id, request, false);
                write(output, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n", "", Framing.LENGTH);
                return true;
            }
            try {
                arrived(id, request, true);
                int work = SHORTEST_WORK_MILLIS + random.nextInt(WORK_SPREAD_MILLIS);
                TimeUnit.MILLISECONDS.sleep(current == Fault.SLOW ? SLOW_FACTOR * work : work);
            } finally {
                slots.release();
            }
            return finish(current, id, deadline, socket);
        } finally {
            if (current != Fault.SHED) {
                present.decrementAndGet();
            }
        }
    }

    private void arrived(String id, WireMessage request, boolean ran) {
        String[] line = request.startLine().split(" ");
        String text = line[0] + " " + line[1] + " " + new String(request.body(), StandardCharsets.UTF_8);
        long leaving = leavingSince == Long.MAX_VALUE ? -1 : Ledger.now() - leavingSince;
        ledger.arrived(id, new Ledger.Arrival(service, name, ran, text, leaving, Ledger.now()));
    }

    private boolean finish(Fault current, String id, long deadline, Socket socket)
            throws IOException, InterruptedException {
        OutputStream output = socket.getOutputStream();
        String body = id + " by " + name + " " + "x".repeat(random.nextInt(3_000));
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + seal(id, body) + "\r\n";
        switch (current) {
            case NONE, SLOW, SHED -> {
                Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
                write(output, head, body, framing);
                return framing != Framing.CLOSE;
            }
            case RESET -> reset(socket);
            case TRUNCATED -> {
                byte[] whole = (head + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1);
                output.write(whole, 0, whole.length - body.length() / 2);
                reset(socket);
            }
            case MUTE -> TimeUnit.MILLISECONDS.sleep(2 * deadline);
            case ERRORS -> {
                write(output, head.replace("200 OK", "500 Failed"), body, Framing.LENGTH);
                return true;
            }
            case EXTRA -> {
                write(output, head, body, Framing.LENGTH);
                write(output, head.replace(id, "0000000000000000"), body, Framing.LENGTH);
                return true;
            }
        }
        return false;
    }

    /** Returns what proves that a server made a response for a request. */
    static String seal(String id, String body) {
        CRC32 sum = new CRC32();
        sum.update((id + body).getBytes(StandardCharsets.ISO_8859_1));
        return Long.toHexString(sum.getValue());
    }

    private static void write(OutputStream output, String head, String body, Framing framing) throws IOException {
        String message =
                switch (framing) {
                    case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
                    case CHUNKED -> head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n";
                    case CLOSE -> head + "Connection: close\r\n\r\n" + body;
                };
        output.write(message.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static String chunk(String body) {
        return Integer.toHexString(body.length()).toLowerCase(Locale.ROOT) + "\r\n" + body + "\r\n";
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** How a server fails most of its requests. */
    enum Fault {
        NONE,
        RESET,
        TRUNCATED,
        MUTE,
        SLOW,
        ERRORS,
        EXTRA,
        SHED
    }

    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }
}
