package org.cassiabank.tls;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Objects;
import javax.net.ServerSocketFactory;
import javax.net.ssl.SSLSocket;

/**
 * Creates listening sockets for TLS connections. Each connection uses the identity that is current when it is accepted,
 * and requires a client certificate.
 */
public final class TlsServerSocketFactory extends ServerSocketFactory {
    private final TlsIdentity identity;

    private TlsServerSocketFactory(TlsIdentity identity) {
        this.identity = identity;
    }

    /**
     * Creates a factory whose connections follow the replacements of an identity.
     *
     * @param identity the identity of this process
     * @return the factory
     */
    public static TlsServerSocketFactory of(TlsIdentity identity) {
        return new TlsServerSocketFactory(Objects.requireNonNull(identity, "identity"));
    }

    @Override
    public ServerSocket createServerSocket() throws IOException {
        return new TlsServerSocket();
    }

    @Override
    public ServerSocket createServerSocket(int port) throws IOException {
        return createServerSocket(port, 0, null);
    }

    @Override
    public ServerSocket createServerSocket(int port, int backlog) throws IOException {
        return createServerSocket(port, backlog, null);
    }

    @Override
    public ServerSocket createServerSocket(int port, int backlog, InetAddress address) throws IOException {
        ServerSocket socket = createServerSocket();
        socket.bind(new InetSocketAddress(address, port), backlog);
        return socket;
    }

    /** Leaves the handshake to the first read by the thread of the connection, so that a slow peer delays no other. */
    private final class TlsServerSocket extends ServerSocket {

        private TlsServerSocket() throws IOException {
            super();
        }

        @Override
        public Socket accept() throws IOException {
            Socket plainSocket = super.accept();
            SSLSocket tlsSocket = (SSLSocket) identity.serverSocketContext()
                    .getSocketFactory()
                    .createSocket(
                            plainSocket, plainSocket.getInetAddress().getHostAddress(), plainSocket.getPort(), true);
            tlsSocket.setUseClientMode(false);
            tlsSocket.setNeedClientAuth(true);
            return tlsSocket;
        }
    }
}
