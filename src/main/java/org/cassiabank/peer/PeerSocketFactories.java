package org.cassiabank.peer;

import java.util.Objects;
import javax.net.ServerSocketFactory;
import javax.net.SocketFactory;

/**
 * The factories of the sockets between proxies, either without TLS or with mutual TLS.
 *
 * @param client creates outgoing sockets
 * @param server creates listening sockets
 */
public record PeerSocketFactories(SocketFactory client, ServerSocketFactory server) {

    /**
     * Checks that both factories are not null.
     *
     * @throws NullPointerException if a factory is null
     */
    public PeerSocketFactories {
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(server, "server");
    }

    /**
     * Returns the default factories of the Java runtime, which create sockets without TLS.
     *
     * @return the factories
     */
    public static PeerSocketFactories plain() {
        return new PeerSocketFactories(SocketFactory.getDefault(), ServerSocketFactory.getDefault());
    }
}
