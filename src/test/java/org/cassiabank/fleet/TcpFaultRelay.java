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
    private final AtomicInteger lastSilencedGeneration = new AtomicInteger();
    private final AtomicInteger currentGeneration = new AtomicInteger(1);
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
        Thread.ofVirtual().start(relay::acceptConnections);
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
        lastSilencedGeneration.set(currentGeneration.getAndIncrement());
    }

    /** Holds back each piece of bytes for a time. */
    public void setDelayMillis(long newDelayMillis) {
        delayMillis = newDelayMillis;
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

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                connect(listener.accept());
            } catch (IOException ignored) {
                // The listener was closed.
            }
        }
    }

    private void connect(Socket callerSocket) throws IOException {
        Socket targetSocket = new Socket();
        try {
            targetSocket.connect(target, 1_000);
        } catch (IOException ignored) {
            // The target does not listen; the near side sees a broken connection.
            callerSocket.close();
            return;
        }
        callerSocket.setTcpNoDelay(true);
        targetSocket.setTcpNoDelay(true);
        sockets.removeIf(Socket::isClosed);
        sockets.add(callerSocket);
        sockets.add(targetSocket);
        int connectionGeneration = currentGeneration.get();
        Thread.ofVirtual().start(() -> relayBytes(callerSocket, targetSocket, connectionGeneration, true));
        Thread.ofVirtual().start(() -> relayBytes(targetSocket, callerSocket, connectionGeneration, false));
    }

    private void relayBytes(Socket source, Socket destination, int connectionGeneration, boolean towardsTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (source;
                destination) {
            InputStream input = source.getInputStream();
            OutputStream output = destination.getOutputStream();
            int byteCount = input.read(buffer);
            while (byteCount >= 0) {
                boolean drop = connectionGeneration <= lastSilencedGeneration.get()
                        || (towardsTarget ? dropToTarget : dropFromTarget);
                if (!drop) {
                    TimeUnit.MILLISECONDS.sleep(delayMillis);
                    output.write(buffer, 0, byteCount);
                    output.flush();
                }
                byteCount = input.read(buffer);
            }
        } catch (IOException ignored) {
            // One of the two sides closed its connection.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
