package org.cassiabank.standin;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Adds a {@link BackendConnection} to each connection that a backend stand-in of this process accepts.
 *
 * <p>Jooby gives no access to its channels. Netty loads this class through {@code META-INF/services} if the system
 * property {@code io.netty.bootstrap.extensions} is {@code serviceload}. Connections to ports that are not registered
 * stay unchanged.
 */
public final class BackendConnectionExtension extends ChannelInitializerExtension {
    private static final Map<Integer, BackendConnections> CONNECTIONS_BY_PORT = new ConcurrentHashMap<>();

    /**
     * Creates the extension; Netty calls this through {@link java.util.ServiceLoader}.
     */
    public BackendConnectionExtension() {
        super();
    }

    /**
     * Registers the connections of a port; this must happen before the server binds the port.
     *
     * @param port the TCP port of the backend stand-in
     * @param connections the set to which accepted connections are added
     */
    static void register(int port, BackendConnections connections) {
        CONNECTIONS_BY_PORT.put(port, connections);
    }

    @Override
    public void postInitializeServerChildChannel(Channel channel) {
        if (channel.localAddress() instanceof InetSocketAddress address) {
            BackendConnections connections = CONNECTIONS_BY_PORT.get(address.getPort());
            if (connections != null) {
                channel.pipeline().addFirst(BackendConnection.of(connections, channel));
            }
        }
    }
}
