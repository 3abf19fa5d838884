package org.cassiabank.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * A Jooby application on a Netty server, whose handlers run on virtual threads and may block.
 */
public final class JoobyServer implements AutoCloseable {
    private final NettyServer server;

    private JoobyServer(NettyServer server) {
        this.server = server;
    }

    /**
     * Starts a server and returns when it listens.
     *
     * @param address the IP number and port to listen on
     * @param maximumRequestBytes the largest accepted body in bytes
     * @param routes adds the routes to the application
     * @return the running server
     * @throws IllegalArgumentException if the address has no port
     */
    public static JoobyServer start(String address, int maximumRequestBytes, Consumer<Jooby> routes) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address has no port: " + address);
        }
        ServerOptions options = new ServerOptions();
        options.setHost(address.substring(0, colon));
        options.setPort(Integer.parseInt(address.substring(colon + 1)));
        options.setMaxRequestSize(maximumRequestBytes);
        // Netty writes bodies larger than the buffer to a temporary file, and the instances have no disks.
        options.setBufferSize(maximumRequestBytes);
        Jooby application = new Jooby();
        application.setWorker(Executors.newVirtualThreadPerTaskExecutor());
        application.setExecutionMode(ExecutionMode.WORKER);
        application.setStartupSummary(List.of());
        routes.accept(application);
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
