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

/** A server on a real socket whose reaction to each request is a script, so that it can break the protocol. */
final class ScriptedServer implements AutoCloseable {
    /** Reacts to a request; the connection is read again afterwards unless the script closed it. */
    interface Script {
        void run(Received request, Socket socket) throws Exception;
    }

    /** A request as it arrived. */
    record Received(int connection, String head, byte[] body) {
        String header(String name) {
            return head.lines()
                    .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(line -> line.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse(null);
        }

        /** Returns the start of a response with the identifier of this request. */
        String answerHead(int status) {
            return "HTTP/1.1 " + status + " Text\r\nCassiabank-Request-Id: " + header("Cassiabank-Request-Id") + "\r\n";
        }
    }

    final List<Received> received = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    /** A permit for each connection that ended. */
    final Semaphore closed = new Semaphore(0);

    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private final Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::accept);
    }

    /** Answers each request with status 200 and the text. */
    static Script answering(String text) {
        return (request, socket) ->
                write(socket, request.answerHead(200) + "Content-Length: " + text.length() + "\r\n\r\n" + text);
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    String address() {
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
                int number = connections.incrementAndGet();
                Thread.startVirtualThread(() -> serve(number, socket));
            }
        } catch (IOException expected) {
            // The listener was closed.
        }
    }

    private void serve(int number, Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            while (!socket.isClosed()) {
                String head = readHead(input);
                Received request = new Received(number, head, new byte[0]);
                String length = request.header("Content-Length");
                byte[] body = length == null ? new byte[0] : input.readNBytes(Integer.parseInt(length));
                request = new Received(number, head, body);
                received.add(request);
                script.run(request, socket);
            }
        } catch (Exception expected) {
            // The client or the script closed the connection.
        } finally {
            closed.release();
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
