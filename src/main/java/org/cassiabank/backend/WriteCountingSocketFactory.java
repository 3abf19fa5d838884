package org.cassiabank.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/**
 * Creates sockets whose writes are counted.
 */
final class WriteCountingSocketFactory extends SocketFactory {

    @Override
    public Socket createSocket() {
        return new WriteCountingSocket();
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port), null);
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
        return connect(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port), null);
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort) throws IOException {
        return connect(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
    }

    private static Socket connect(InetSocketAddress remote, InetSocketAddress local) throws IOException {
        Socket socket = new WriteCountingSocket();
        if (local != null) {
            socket.bind(local);
        }
        socket.connect(remote);
        return socket;
    }
}
