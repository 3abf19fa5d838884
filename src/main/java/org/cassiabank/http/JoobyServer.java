package org.cassiabank.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * An HTTP server with a Jooby application on Netty. Handlers run on virtual threads and may block.
 */
public final class JoobyServer implements AutoCloseable {
    private final NettyServer server;

    private JoobyServer(NettyServer server) {
        this.server = server;
    }

    /**
     * Starts a server and returns when it accepts connections.
     *
     * @param address the IP address and port to listen on, separated by a colon
     * @param maximumRequestBytes the maximum size of a request body in bytes
     * @param addRoutes registers the routes of the application
     * @return the running server
     * @throws IllegalArgumentException if the address has no port or the port is not a number
     */
    public static JoobyServer start(String address, int maximumRequestBytes, Consumer<Jooby> addRoutes) {
        int portSeparator = address.lastIndexOf(':');
        if (portSeparator <= 0) {
            throw new IllegalArgumentException("address has no port: " + address);
        }
        ServerOptions options = new ServerOptions();
        options.setHost(address.substring(0, portSeparator));
        options.setPort(Integer.parseInt(address.substring(portSeparator + 1)));
        options.setMaxRequestSize(maximumRequestBytes);
        // Netty would write a body larger than the buffer to a temporary file, and the instances have no disks.
        options.setBufferSize(maximumRequestBytes);
        Jooby application = new Jooby();
        application.setWorker(Executors.newVirtualThreadPerTaskExecutor());
        application.setExecutionMode(ExecutionMode.WORKER);
        application.setStartupSummary(List.of());
        addRoutes.accept(application);
        NettyServer server = new NettyServer();
        server.setOptions(options);
        server.start(application);
        return new JoobyServer(server);
    }

    @Override
    public void close() {
        server.stop();
    }
}
