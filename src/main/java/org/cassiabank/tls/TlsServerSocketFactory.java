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
 * Creates listening sockets whose connections use the identity that is current when they are accepted, and require a
 * certificate of the other side.
 */
public final class TlsServerSocketFactory extends ServerSocketFactory {
    private final TlsIdentity identity;

    private TlsServerSocketFactory(TlsIdentity identity) {
        this.identity = identity;
    }

    /**
     * Creates a factory.
     *
     * @param identity the identity
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

    /** The handshake happens at the first read of the connection's own thread, so a slow peer blocks no other. */
    private final class TlsServerSocket extends ServerSocket {

        private TlsServerSocket() throws IOException {
            super();
        }

        @Override
        public Socket accept() throws IOException {
            Socket raw = super.accept();
            SSLSocket socket = (SSLSocket) identity.serverSocketContext()
                    .getSocketFactory()
                    .createSocket(raw, raw.getInetAddress().getHostAddress(), raw.getPort(), true);
            socket.setUseClientMode(false);
            socket.setNeedClientAuth(true);
            return socket;
        }
    }
}
