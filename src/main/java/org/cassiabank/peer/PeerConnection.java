package org.cassiabank.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.apache.thrift.TException;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cassiabank.peer.generated.Peer;

/**
 * A connection to a peer, used by one call at a time. Instances are not thread-safe.
 */
final class PeerConnection implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final CountingSocket countingSocket;
    private final TFramedTransport transport;
    private final Peer.Client client;
    private long idleSinceMillis;

    private PeerConnection(CountingSocket countingSocket, TFramedTransport transport) {
        this.countingSocket = countingSocket;
        this.transport = transport;
        this.client = new Peer.Client(PeerFrames.newProtocol(transport));
    }

    /**
     * Connects to a peer.
     *
     * @param socketFactories the factories of the sockets
     * @param host the host of the peer
     * @param port the port of the peer
     * @param timeoutMillis the longest wait for the connection in milliseconds
     * @return the connection
     * @throws TException if the connection cannot be established in time
     */
    static PeerConnection open(PeerSocketFactories socketFactories, String host, int port, int timeoutMillis)
            throws TException {
        try {
            Socket socket = socketFactories.client().createSocket();
            try {
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(host, port), timeoutMillis);
                CountingSocket countingSocket = new CountingSocket(socket);
                return new PeerConnection(countingSocket, PeerFrames.newTransport(countingSocket));
            } catch (IOException | TException exception) {
                socket.close();
                throw exception;
            }
        } catch (IOException exception) {
            throw new TTransportException(TTransportException.NOT_OPEN, exception);
        }
    }

    /** Makes a call with a timeout for each read in milliseconds, and counts its bytes from 0. */
    <R> R call(PeerCall<R> call, int timeoutMillis) throws TException {
        countingSocket.setTimeout(timeoutMillis);
        countingSocket.resetCounts();
        return call.invoke(client);
    }

    /**
     * Tells whether bytes have arrived that belong to no call, behind the last reply or in its frame. The connection
     * must not be used again.
     *
     * @return true also if the connection cannot be examined, because it has ended
     */
    boolean hasUnreadBytes() {
        return transport.getBytesRemainingInBuffer() > 0 || countingSocket.hasUnreadBytes();
    }

    long bytesSent() {
        return countingSocket.bytesSent;
    }

    long bytesReceived() {
        return countingSocket.bytesReceived;
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

    /** A socket that counts the bytes written and read since the last reset. */
    private static final class CountingSocket extends TSocket {
        private long bytesSent;
        private long bytesReceived;

        CountingSocket(Socket socket) throws TTransportException {
            super(socket);
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws TTransportException {
            int bytesRead = super.read(buffer, offset, length);
            bytesReceived += bytesRead;
            return bytesRead;
        }

        @Override
        public void write(byte[] buffer, int offset, int length) throws TTransportException {
            super.write(buffer, offset, length);
            bytesSent += length;
        }

        private boolean hasUnreadBytes() {
            try {
                return inputStream_.available() > 0;
            } catch (IOException exception) {
                LOGGER.atFine().withCause(exception).log("an idle connection to a peer has ended");
                return true;
            }
        }

        private void resetCounts() {
            bytesSent = 0;
            bytesReceived = 0;
        }
    }
}
