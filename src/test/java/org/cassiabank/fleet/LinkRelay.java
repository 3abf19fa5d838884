package org.cassiabank.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Relays TCP connections and drops the bytes of one direction on demand, as an asymmetric partition does. */
final class LinkRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1_024;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final AtomicInteger silencedGeneration = new AtomicInteger();
    private final AtomicInteger generation = new AtomicInteger(1);
    private volatile boolean dropToTarget;
    private volatile boolean dropFromTarget;

    private LinkRelay(ServerSocket listener, InetSocketAddress target) {
        this.listener = listener;
        this.target = target;
    }

    static LinkRelay start(String host, int port) throws IOException {
        ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        LinkRelay relay = new LinkRelay(listener, new InetSocketAddress(host, port));
        Thread.ofVirtual().start(relay::accept);
        return relay;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Drops what is sent to the target: it hears nothing but is heard. */
    void dropToTarget(boolean drop) {
        dropToTarget = drop;
    }

    /** Drops what the target sends: it hears but is not heard. */
    void dropFromTarget(boolean drop) {
        dropFromTarget = drop;
    }

    /** Makes all open connections silent for good while new ones work. */
    void silenceOpenConnections() {
        silencedGeneration.set(generation.getAndIncrement());
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(target, 1_000);
                sockets.add(near);
                sockets.add(far);
                int born = generation.get();
                Thread.ofVirtual().start(() -> copy(near, far, born, true));
                Thread.ofVirtual().start(() -> copy(far, near, born, false));
            } catch (IOException ignored) {
                // The listener was closed, or the target does not listen; the near side sees a broken connection.
            }
        }
    }

    private void copy(Socket from, Socket to, int born, boolean towardsTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                boolean drop = born <= silencedGeneration.get() || (towardsTarget ? dropToTarget : dropFromTarget);
                if (!drop) {
                    output.write(buffer, 0, count);
                    output.flush();
                }
                count = input.read(buffer);
            }
        } catch (IOException ignored) {
            // One of the two sides closed its connection.
        }
    }
}
