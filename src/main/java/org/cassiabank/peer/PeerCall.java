package org.cassiabank.peer;

import org.apache.thrift.TException;
import org.cassiabank.peer.generated.Peer;

/**
 * A call to a peer over a connected Thrift client.
 *
 * @param <R> the type of the result
 */
@FunctionalInterface
public interface PeerCall<R> {

    /**
     * Sends the request and waits for the reply.
     *
     * @param client a client that is connected to the peer
     * @return the result
     * @throws TException if the connection fails, the reply is not in time or the peer returns an exception
     */
    R invoke(Peer.Iface client) throws TException;
}
