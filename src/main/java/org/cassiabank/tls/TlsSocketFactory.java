package org.cassiabank.tls;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Objects;
import javax.net.SocketFactory;

/**
 * Creates sockets for outgoing TLS connections, with the identity that is current when the socket is created.
 */
public final class TlsSocketFactory extends SocketFactory {
    private final TlsIdentity identity;

    private TlsSocketFactory(TlsIdentity identity) {
        this.identity = identity;
    }

    /**
     * Creates a factory whose sockets follow the replacements of an identity.
     *
     * @param identity the identity of this process
     * @return the factory
     */
    public static TlsSocketFactory of(TlsIdentity identity) {
        return new TlsSocketFactory(Objects.requireNonNull(identity, "identity"));
    }

    @Override
    public Socket createSocket() throws IOException {
        return currentFactory().createSocket();
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return currentFactory().createSocket(host, port);
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localAddress, int localPort) throws IOException {
        return currentFactory().createSocket(host, port, localAddress, localPort);
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return currentFactory().createSocket(host, port);
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress localAddress, int localPort) throws IOException {
        return currentFactory().createSocket(host, port, localAddress, localPort);
    }

    private SocketFactory currentFactory() {
        return identity.clientSocketContext().getSocketFactory();
    }
}
