package org.cassiabank.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.thrift.TProcessor;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.peer.generated.Peer;

/**
 * Serves the calls of other proxies, with one virtual thread for each connection.
 */
public final class PeerServer implements AutoCloseable {
    /** Clients close idle connections after 2 s, so a connection that is silent for longer has lost its client. */
    private static final int IDLE_TIMEOUT_MILLIS = 30_000;

    private static final int CONNECTION_BACKLOG = 512;

    private final TServer server;
    private final ExecutorService workers;
    private volatile boolean closed;

    private PeerServer(TServer server, ExecutorService workers) {
        this.server = server;
        this.workers = workers;
    }

    /**
     * Starts listening and returns without waiting for calls.
     *
     * @param address the IP address to listen on
     * @param port the port to listen on
     * @param socketFactories the factories of the sockets, of which the server factory is used
     * @param handler handles the calls; it must be thread-safe
     * @return the running server
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the server cannot listen on the address
     */
    public static PeerServer start(String address, int port, PeerSocketFactories socketFactories, Peer.Iface handler) {
        Objects.requireNonNull(handler, "handler");
        try {
            ServerSocket listeningSocket = socketFactories
                    .server()
                    .createServerSocket(port, CONNECTION_BACKLOG, InetAddress.getByName(address));
            ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
            PeerServerSocket socket = new PeerServerSocket(listeningSocket);
            TThreadPoolServer.Args arguments = new TThreadPoolServer.Args(socket)
                    .processor(endingAtFrames(new Peer.Processor<>(handler)))
                    .executorService(workers);
            arguments.transportFactory(PeerFrames.transportFactory());
            arguments.protocolFactory(PeerFrames.protocolFactory());
            // In seconds, the default unit of Thrift.
            arguments.stopTimeoutVal = 1;
            TServer server = new TThreadPoolServer(arguments);
            socket.server = server;
            PeerServer peerServer = new PeerServer(server, workers);
            BackgroundTasks.startLoop(Thread.ofVirtual(), "peer-server", () -> !peerServer.closed, server::serve);
            return peerServer;
        } catch (IOException | TTransportException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.START_FAILED,
                    "cannot listen for peers on " + address + ":" + port + ": " + exception.getMessage(),
                    exception);
        }
    }

    /**
     * Stops the server again if it was closed before it began to serve: Thrift forgets the first stop and would accept
     * from a closed socket without end.
     */
    private static final class PeerServerSocket extends TServerSocket {
        private volatile TServer server;
        private volatile boolean closed;

        PeerServerSocket(ServerSocket listeningSocket) throws TTransportException {
            super(listeningSocket, IDLE_TIMEOUT_MILLIS);
        }

        @Override
        public TSocket accept() throws TTransportException {
            if (closed) {
                server.stop();
            }
            return super.accept();
        }

        @Override
        public void close() {
            closed = true;
            super.close();
        }
    }

    /** Ends a connection on which a frame holds more than its call; the rest would be read as the next call. */
    private static TProcessor endingAtFrames(TProcessor processor) {
        return (input, output) -> {
            processor.process(input, output);
            int bytesBehind = input.getTransport().getBytesRemainingInBuffer();
            if (bytesBehind > 0) {
                throw new TTransportException(
                        TTransportException.CORRUPTED_DATA, bytesBehind + " bytes follow the call in its frame");
            }
        };
    }

    @Override
    public void close() {
        closed = true;
        server.stop();
        workers.shutdownNow();
    }
}
