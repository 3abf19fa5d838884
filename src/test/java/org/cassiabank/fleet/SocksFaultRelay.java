package org.cassiabank.fleet;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntPredicate;

/**
 * A SOCKS proxy through which one daemon makes all its connections, so that its paths to some targets can be cut while
 * the other targets, and other daemons, are not affected.
 */
public final class SocksFaultRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1_024;
    private static final int SOCKS_VERSION = 5;
    private static final byte[] NO_AUTHENTICATION = {SOCKS_VERSION, 0};
    private static final byte[] CONNECTED = {SOCKS_VERSION, 0, 0, 1, 0, 0, 0, 0, 0, 0};
    private static final byte[] REFUSED = {SOCKS_VERSION, 5, 0, 1, 0, 0, 0, 0, 0, 0};

    private final ServerSocket listener;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile IntPredicate cutPorts = port -> false;
    private volatile Manner manner = Manner.SILENT;

    private SocksFaultRelay(ServerSocket listener) {
        this.listener = listener;
    }

    public static SocksFaultRelay start() throws IOException {
        SocksFaultRelay relay = new SocksFaultRelay(new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1")));
        Thread.ofVirtual().start(relay::acceptConnections);
        return relay;
    }

    /** Returns the options that make a JVM connect through this relay, also to loopback addresses. */
    public List<String> javaOptions() {
        return List.of(
                "-DsocksProxyHost=127.0.0.1", "-DsocksProxyPort=" + listener.getLocalPort(), "-DsocksNonProxyHosts=");
    }

    /** Cuts the paths to all targets whose ports match. */
    public void cut(IntPredicate ports, Manner newManner) {
        manner = newManner;
        cutPorts = ports;
        connections.stream()
                .filter(connection -> ports.test(connection.targetPort))
                .forEach(connection -> {
                    switch (newManner) {
                        case SILENT -> connection.silent = true;
                        case RESET -> connection.reset();
                        case REFUSE_NEW -> {}
                    }
                });
    }

    /** Lets new connections through again; those that have become silent stay so. */
    public void heal() {
        cutPorts = port -> false;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(Connection::reset);
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Thread.ofVirtual().start(() -> serve(client));
            } catch (IOException exception) {
                // The listener was closed, or the client has gone already.
                continue;
            }
        }
    }

    private void serve(Socket client) {
        try (client) {
            client.setTcpNoDelay(true);
            DataInputStream input = new DataInputStream(client.getInputStream());
            OutputStream output = client.getOutputStream();
            input.readByte();
            input.skipNBytes(input.readUnsignedByte());
            output.write(NO_AUTHENTICATION);
            // Version, command, reserved byte and type of address; Java sends IPv4 addresses here.
            input.skipNBytes(4);
            InetAddress host = InetAddress.getByAddress(input.readNBytes(4));
            int port = input.readUnsignedShort();
            if (cutPorts.test(port)) {
                if (manner == Manner.SILENT) {
                    input.read();
                } else {
                    output.write(REFUSED);
                }
                return;
            }
            try (Socket target = new Socket()) {
                target.connect(new InetSocketAddress(host, port));
                target.setTcpNoDelay(true);
                output.write(CONNECTED);
                new Connection(client, target, port).relay();
            } catch (IOException exception) {
                output.write(REFUSED);
            }
        } catch (IOException exception) {
            // The daemon has closed the connection; closing the other side is all that is left to do.
            return;
        }
    }

    /** What a cut path does to connections. */
    public enum Manner {
        /** Open connections carry nothing any more, and new ones do not open. */
        SILENT,
        /** Open connections are reset and new ones refused. */
        RESET,
        /** Open connections live on and new ones are refused. */
        REFUSE_NEW
    }

    private final class Connection {
        private final Socket client;
        private final Socket target;
        private final int targetPort;
        private volatile boolean silent;

        private Connection(Socket client, Socket target, int targetPort) {
            this.client = client;
            this.target = target;
            this.targetPort = targetPort;
        }

        private void relay() {
            connections.add(this);
            Thread backward = Thread.ofVirtual().start(() -> copy(target, client));
            copy(client, target);
            try {
                backward.join();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            } finally {
                connections.remove(this);
            }
        }

        private void copy(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream input = from.getInputStream();
                for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                    if (!silent) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                }
                if (!silent) {
                    to.shutdownOutput();
                }
            } catch (IOException exception) {
                reset();
            }
        }

        private void reset() {
            for (Socket socket : List.of(client, target)) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException exception) {
                    // It is closed already.
                    continue;
                }
            }
        }
    }
}
