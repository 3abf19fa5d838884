package org.cassiabank.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cassiabank.peer.generated.Peer;

/**
 * One connection to a peer, used by one call at a time.
 */
final class PeerConnection implements AutoCloseable {
    private final CountingSocket socket;
    private final TFramedTransport transport;
    private final Peer.Client client;
    private long idleSinceMillis;

    private PeerConnection(CountingSocket socket, TFramedTransport transport) {
        this.socket = socket;
        this.transport = transport;
        this.client = new Peer.Client(new TCompactProtocol(transport));
    }

    static PeerConnection open(PeerSocketFactories socketFactories, String host, int port, int timeoutMillis)
            throws TException {
        try {
            Socket raw = socketFactories.client().createSocket();
            try {
                raw.setTcpNoDelay(true);
                raw.connect(new InetSocketAddress(host, port), timeoutMillis);
                CountingSocket socket = new CountingSocket(raw);
                return new PeerConnection(socket, new TFramedTransport(socket, PeerServer.MAXIMUM_FRAME_BYTES));
            } catch (IOException | TException exception) {
                raw.close();
                throw exception;
            }
        } catch (IOException exception) {
            throw new TTransportException(TTransportException.NOT_OPEN, exception);
        }
    }

    <R> R call(PeerCall<R> call, int timeoutMillis) throws TException {
        socket.setTimeout(timeoutMillis);
        socket.resetCounts();
        return call.make(client);
    }

    long bytesSent() {
        return socket.sent;
    }

    long bytesReceived() {
        return socket.received;
    }

    void markIdle(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    @Override
    public void close() {
        transport.close();
    }

    /** A socket that counts the bytes of the current call. */
    private static final class CountingSocket extends TSocket {
        private long sent;
        private long received;

        CountingSocket(Socket socket) throws TTransportException {
            super(socket);
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws TTransportException {
            int count = super.read(buffer, offset, length);
            received += count;
            return count;
        }

        @Override
        public void write(byte[] buffer, int offset, int length) throws TTransportException {
            super.write(buffer, offset, length);
            sent += length;
        }

        private void resetCounts() {
            sent = 0;
            received = 0;
        }
    }
}
