package org.cassiabank.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Objects;
import javax.net.SocketFactory;
import org.cassiabank.http.DecodingTurns;
import org.cassiabank.http.KeepAliveSocketFactory;

/**
 * Creates sockets that count their write operations. A connection whose server cannot be reached any more is broken by
 * the operating system, so that no request waits on it for long.
 */
final class MeteredSocketFactory extends SocketFactory {
    private final DecodingTurns decodingTurns;

    private MeteredSocketFactory(DecodingTurns decodingTurns) {
        super();
        this.decodingTurns = decodingTurns;
    }

    /** Creates a factory for connections whose responses share the given turns. */
    static MeteredSocketFactory create(DecodingTurns decodingTurns) {
        return new MeteredSocketFactory(Objects.requireNonNull(decodingTurns, "decodingTurns"));
    }

    @Override
    public Socket createSocket() throws IOException {
        Socket socket = MeteredSocket.create(decodingTurns);
        KeepAliveSocketFactory.enableKeepAlive(socket);
        return socket;
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port), null);
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localInterface, int localPort) throws IOException {
        return connect(new InetSocketAddress(host, port), new InetSocketAddress(localInterface, localPort));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port), null);
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress localInterface, int localPort)
            throws IOException {
        return connect(new InetSocketAddress(host, port), new InetSocketAddress(localInterface, localPort));
    }

    private Socket connect(InetSocketAddress remoteAddress, InetSocketAddress localAddress) throws IOException {
        Socket socket = MeteredSocket.create(decodingTurns);
        KeepAliveSocketFactory.enableKeepAlive(socket);
        if (localAddress != null) {
            socket.bind(localAddress);
        }
        socket.connect(remoteAddress);
        return socket;
    }
}
