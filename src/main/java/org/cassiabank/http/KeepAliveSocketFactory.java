package org.cassiabank.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import javax.net.SocketFactory;
import jdk.net.ExtendedSocketOptions;

/**
 * Creates sockets that probe idle connections, so that a call that waits long notices a connection that went silent.
 */
public final class KeepAliveSocketFactory extends SocketFactory {
    private static final int IDLE_SECONDS = 1;
    private static final int INTERVAL_SECONDS = 1;
    /** Two lost probes are common where one packet in forty is lost; three are not. */
    private static final int PROBES = 3;

    private KeepAliveSocketFactory() {}

    /**
     * Creates a factory.
     *
     * @return the factory
     */
    public static KeepAliveSocketFactory create() {
        return new KeepAliveSocketFactory();
    }

    @Override
    public Socket createSocket() throws IOException {
        Socket socket = new Socket();
        socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_SECONDS);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_SECONDS);
        socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
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

    private Socket connect(InetSocketAddress remote) throws IOException {
        Socket socket = createSocket();
        socket.connect(remote);
        return socket;
    }
}
