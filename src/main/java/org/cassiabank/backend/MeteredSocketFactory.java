package org.cassiabank.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/**
 * Creates sockets that count their write operations.
 */
final class MeteredSocketFactory extends SocketFactory {

    @Override
    public Socket createSocket() {
        return new MeteredSocket();
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

    private static Socket connect(InetSocketAddress remoteAddress, InetSocketAddress localAddress) throws IOException {
        Socket socket = new MeteredSocket();
        if (localAddress != null) {
            socket.bind(localAddress);
        }
        socket.connect(remoteAddress);
        return socket;
    }
}
