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

/** Relays TCP connections to a target and can delay bytes, drop them in one direction, mute and reset connections. */
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

    /** Sets whether bytes sent to the target are dropped while bytes from the target are relayed. */
    public void setDropToTarget(boolean drop) {
        dropToTarget = drop;
    }

    /** Sets whether bytes from the target are dropped while bytes to the target are relayed. */
    public void setDropFromTarget(boolean drop) {
        dropFromTarget = drop;
    }

    /** Drops all bytes of the open connections for good, while new connections are relayed. */
    public void blackholeOpenConnections() {
        lastSilencedGeneration.set(currentGeneration.getAndIncrement());
    }

    /** Sets the delay of each block of bytes in milliseconds; 0 for none. */
    public void setDelayMillis(long newDelayMillis) {
        delayMillis = newDelayMillis;
    }

    /** Resets all open connections with a TCP RST. */
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
            // The target does not accept connections; the connecting side gets a closed connection.
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
                boolean isDropped = connectionGeneration <= lastSilencedGeneration.get()
                        || (towardsTarget ? dropToTarget : dropFromTarget);
                if (!isDropped) {
                    TimeUnit.MILLISECONDS.sleep(delayMillis);
                    output.write(buffer, 0, byteCount);
                    output.flush();
                }
                byteCount = input.read(buffer);
            }
        } catch (IOException ignored) {
            // One of the two connections was closed.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
