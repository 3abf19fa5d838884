package org.cassiabank.peer;

import org.apache.thrift.TException;
import org.cassiabank.peer.generated.Peer;

/**
 * One call of a peer.
 *
 * @param <R> the type of the result
 */
@FunctionalInterface
public interface PeerCall<R> {

    /**
     * Makes the call.
     *
     * @param client a client that is connected to the peer
     * @return the result
     * @throws TException if the call fails
     */
    R make(Peer.Iface client) throws TException;
}
