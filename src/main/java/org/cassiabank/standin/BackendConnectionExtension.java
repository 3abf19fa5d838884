package org.cassiabank.standin;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Adds a {@link BackendConnection} to each connection that a backend stand-in of this process accepts.
 *
 * <p>Jooby does not show its channels. Netty loads this class through {@code META-INF/services} if the system property
 * {@code io.netty.bootstrap.extensions} is {@code serviceload}. Ports of other servers are left alone.
 */
public final class BackendConnectionExtension extends ChannelInitializerExtension {
    private static final Map<Integer, BackendConnections> CONNECTIONS_BY_PORT = new ConcurrentHashMap<>();

    /**
     * Creates the extension; called by Netty's service loader.
     */
    public BackendConnectionExtension() {
        super();
    }

    /**
     * Registers the connections of a port before the server binds it.
     *
     * @param port the port of the backend stand-in
     * @param connections the set that new connections join
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
