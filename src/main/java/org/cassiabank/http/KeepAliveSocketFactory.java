package org.cassiabank.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.Objects;
import java.util.function.Supplier;
import javax.net.SocketFactory;
import jdk.net.ExtendedSocketOptions;

/**
 * Creates sockets with TCP keep-alive, so that a long-polling call detects a connection whose other side has become
 * unreachable.
 */
public final class KeepAliveSocketFactory extends SocketFactory {
    private static final int IDLE_BEFORE_PROBE_SECONDS = 1;
    private static final int PROBE_INTERVAL_SECONDS = 1;
    /** With one packet in forty lost, two lost probes in a row are common and three are not. */
    private static final int MAXIMUM_UNANSWERED_PROBES = 3;

    private final Supplier<Socket> newSocket;

    private KeepAliveSocketFactory(Supplier<Socket> newSocket) {
        super();
        this.newSocket = newSocket;
    }

    /**
     * Creates a factory. Creating a socket fails if the operating system does not support the options.
     *
     * @return the factory
     */
    public static KeepAliveSocketFactory create() {
        return of(Socket::new);
    }

    /**
     * Creates a factory for sockets of another class.
     *
     * @param newSocket creates a socket that is not connected
     * @return the factory
     */
    static KeepAliveSocketFactory of(Supplier<Socket> newSocket) {
        return new KeepAliveSocketFactory(Objects.requireNonNull(newSocket, "newSocket"));
    }

    /**
     * Makes the operating system probe a connection while nothing is received on it, and break it when the other side
     * does not answer for about 4 s.
     *
     * @param socket the socket, connected or not
     * @throws IOException if the operating system does not support the options
     */
    public static void enableKeepAlive(Socket socket) throws IOException {
        socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_BEFORE_PROBE_SECONDS);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_INTERVAL_SECONDS);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, MAXIMUM_UNANSWERED_PROBES);
    }

    @Override
    public Socket createSocket() throws IOException {
        Socket socket = newSocket.get();
        enableKeepAlive(socket);
        return socket;
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    private Socket connect(InetSocketAddress remoteAddress) throws IOException {
        Socket socket = createSocket();
        socket.connect(remoteAddress);
        return socket;
    }
}
