package org.cassiabank.peer;

import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * The framing and the encoding of messages between proxies.
 *
 * <p>A length in a message is refused if the rest of its frame cannot hold so much, before memory is allocated for it.
 */
final class PeerFrames {
    /** A frame is allocated before it is read, so a false length must not take a large part of the heap. */
    private static final int MAXIMUM_FRAME_BYTES =
            (int) Math.min(64 * 1024 * 1024, Runtime.getRuntime().maxMemory() / 8);

    /** More than any message of a later release nests in a field that this one does not know. */
    private static final int MAXIMUM_SKIPPED_DEPTH = 64;

    static {
        TProtocolUtil.setMaxSkipDepth(MAXIMUM_SKIPPED_DEPTH);
    }

    private PeerFrames() {}

    /** Returns a transport for the messages of a connection. */
    static TFramedTransport newTransport(TTransport connection) throws TTransportException {
        return new LimitedTransport(connection);
    }

    /** Returns a protocol for the messages of a transport that {@link #newTransport} made. */
    static TProtocol newProtocol(TTransport transport) {
        return new LimitedProtocol(transport);
    }

    /** Returns a factory of {@linkplain #newTransport transports}. */
    static TTransportFactory transportFactory() {
        return new TTransportFactory() {
            @Override
            public TTransport getTransport(TTransport connection) throws TTransportException {
                return newTransport(connection);
            }
        };
    }

    /** Returns a factory of {@linkplain #newProtocol protocols}. */
    static TProtocolFactory protocolFactory() {
        return PeerFrames::newProtocol;
    }

    /** Thrift itself compares a length with the most bytes of any message instead of the rest of the frame. */
    private static final class LimitedTransport extends TFramedTransport {
        LimitedTransport(TTransport connection) throws TTransportException {
            super(connection, MAXIMUM_FRAME_BYTES);
        }

        @Override
        public void checkReadBytesAvailable(long bytes) throws TTransportException {
            if (bytes < 0 || bytes > getBytesRemainingInBuffer()) {
                throw new TTransportException(
                        TTransportException.CORRUPTED_DATA,
                        "a length of " + bytes + " bytes exceeds the " + getBytesRemainingInBuffer()
                                + " bytes that are left of the frame");
            }
        }
    }

    private static final class LimitedProtocol extends TCompactProtocol {
        LimitedProtocol(TTransport transport) {
            super(transport);
        }

        /** Thrift counts nothing for a structure, of which a list could then have any number. */
        @Override
        public int getMinSerializedSize(byte type) throws TTransportException {
            return Math.max(1, super.getMinSerializedSize(type));
        }
    }
}
