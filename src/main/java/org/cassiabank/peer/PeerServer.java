package org.cassiabank.peer;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.TProcessorFactory;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.cassiabank.http.DecodingTurns;
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

    /** Short calls of this number take about a turn. */
    private static final int CALLS_PER_TURN = 64;

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
                    .processorFactory(inTurns(endingAtFrames(new Peer.Processor<>(handler))))
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

    /**
     * Returns processors of which each serves one connection and waits for {@link DecodingTurns its next turn} from
     * time to time. The thread of a peer that does not wait for replies would otherwise never leave its carrier thread.
     */
    private static TProcessorFactory inTurns(TProcessor processor) {
        DecodingTurns turns = DecodingTurns.create();
        return new TProcessorFactory(processor) {
            @Override
            public TProcessor getProcessor(TTransport connection) {
                return new ProcessorInTurns(processor, turns);
            }
        };
    }

    /** Serves the calls of one connection; confined to its thread. */
    private static final class ProcessorInTurns implements TProcessor {
        private final TProcessor processor;
        private final DecodingTurns turns;
        private int callsOfTurn;
        private long turnStartNanos = System.nanoTime();

        ProcessorInTurns(TProcessor processor, DecodingTurns turns) {
            this.processor = processor;
            this.turns = turns;
        }

        @Override
        public void process(TProtocol input, TProtocol output) throws TException {
            processor.process(input, output);
            callsOfTurn++;
            if (callsOfTurn == CALLS_PER_TURN) {
                awaitTurn();
                callsOfTurn = 0;
                turnStartNanos = System.nanoTime();
            }
        }

        private void awaitTurn() throws TTransportException {
            // A peer that waits for replies spends most of the time elsewhere.
            long turnNanos = Math.min(System.nanoTime() - turnStartNanos, DecodingTurns.TURN_NANOS);
            try {
                turns.awaitTurn(turnNanos, () -> {});
            } catch (InterruptedIOException exception) {
                // Only the end of this server interrupts its threads, which Thrift must not log as a fault.
                throw new TTransportException(TTransportException.END_OF_FILE, exception);
            } catch (IOException exception) {
                throw new TTransportException(TTransportException.UNKNOWN, exception);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        server.stop();
        workers.shutdownNow();
    }
}
