package org.cassiabank.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP server on a real socket whose script writes each response, so that it can violate the protocol. */
public final class ScriptedServer implements AutoCloseable {
    /** Responds to a request. Afterwards the server reads the next request, unless the script closed the connection. */
    public interface Script {
        void respond(ReceivedRequest request, Socket socket) throws Exception;
    }

    /** A received request; connections are numbered from 1 in the order in which they were accepted. */
    public record ReceivedRequest(int connectionNumber, String head, byte[] body) {
        public String header(String name) {
            return head.lines()
                    .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(line -> line.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse(null);
        }

        /** Returns the status line and the first header of a response, with the identifier of this request. */
        String responseHead(int status) {
            return "HTTP/1.1 " + status + " Text\r\nCassiabank-Request-Id: " + header("Cassiabank-Request-Id") + "\r\n";
        }
    }

    final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    public final AtomicInteger acceptedConnections = new AtomicInteger();
    /** Has a permit for each connection that was closed. */
    final Semaphore closedConnections = new Semaphore(0);

    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private final Script script;

    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::accept);
    }

    /** Responds to each request with status 200 and the text as the body. */
    static Script respondingWith(String text) {
        return (request, socket) ->
                write(socket, request.responseHead(200) + "Content-Length: " + text.length() + "\r\n\r\n" + text);
    }

    public static void write(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                int connectionNumber = acceptedConnections.incrementAndGet();
                Thread.startVirtualThread(() -> serve(connectionNumber, socket));
            }
        } catch (IOException expected) {
            // The listener was closed.
        }
    }

    private void serve(int connectionNumber, Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            while (!socket.isClosed()) {
                String head = readHead(input);
                ReceivedRequest request = new ReceivedRequest(connectionNumber, head, new byte[0]);
                String length = request.header("Content-Length");
                byte[] body = length == null ? new byte[0] : input.readNBytes(Integer.parseInt(length));
                request = new ReceivedRequest(connectionNumber, head, body);
                receivedRequests.add(request);
                script.respond(request, socket);
            }
        } catch (Exception expected) {
            // The client or the script closed the connection.
        } finally {
            closedConnections.release();
        }
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection ended");
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }
}
