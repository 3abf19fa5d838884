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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Relays TCP connections and delays, drops or resets them on demand, as links and partitions do. */
public final class TcpFaultRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1_024;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final AtomicInteger silencedGeneration = new AtomicInteger();
    private final AtomicInteger generation = new AtomicInteger(1);
    private volatile boolean dropToTarget;
    private volatile boolean dropFromTarget;
    private volatile long delayMillis;

    private TcpFaultRelay(ServerSocket listener, InetSocketAddress target) {
        this.listener = listener;
        this.target = target;
    }

    public static TcpFaultRelay start(String host, int port) throws IOException {
        ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        TcpFaultRelay relay = new TcpFaultRelay(listener, new InetSocketAddress(host, port));
        Thread.ofVirtual().start(relay::accept);
        return relay;
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Drops what is sent to the target: it hears nothing but is heard. */
    public void setDropToTarget(boolean drop) {
        dropToTarget = drop;
    }

    /** Drops what the target sends: it hears but is not heard. */
    public void setDropFromTarget(boolean drop) {
        dropFromTarget = drop;
    }

    /** Makes all open connections silent for good while new ones work. */
    public void blackholeOpenConnections() {
        silencedGeneration.set(generation.getAndIncrement());
    }

    /** Holds back each piece of bytes for a time. */
    public void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    /** Resets all open connections. */
    public void resetOpenConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
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
                connect(listener.accept());
            } catch (IOException ignored) {
                // The listener was closed.
            }
        }
    }

    private void connect(Socket near) throws IOException {
        Socket far = new Socket();
        try {
            far.connect(target, 1_000);
        } catch (IOException ignored) {
            // The target does not listen; the near side sees a broken connection.
            near.close();
            return;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        sockets.removeIf(Socket::isClosed);
        sockets.add(near);
        sockets.add(far);
        int born = generation.get();
        Thread.ofVirtual().start(() -> copy(near, far, born, true));
        Thread.ofVirtual().start(() -> copy(far, near, born, false));
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
                    TimeUnit.MILLISECONDS.sleep(delayMillis);
                    output.write(buffer, 0, count);
                    output.flush();
                }
                count = input.read(buffer);
            }
        } catch (IOException ignored) {
            // One of the two sides closed its connection.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
