package org.cassiabank.peer;

import org.apache.thrift.TApplicationException;
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

    /**
     * Returns a call that peers of earlier releases may not know. Such a peer has answered, so it stays reachable.
     *
     * @param <R> the type of the result
     * @param call the call
     * @param result the result if the peer does not know the call
     * @return the call with that result
     */
    static <R> PeerCall<R> withResultIfUnknown(PeerCall<R> call, R result) {
        return client -> {
            try {
                return call.invoke(client);
            } catch (TApplicationException exception) {
                if (exception.getType() == TApplicationException.UNKNOWN_METHOD) {
                    return result;
                }
                throw exception;
            }
        };
    }
}
