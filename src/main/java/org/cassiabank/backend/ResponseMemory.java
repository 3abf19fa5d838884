package org.cassiabank.backend;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.http.ResponseTooLargeException;

/**
 * The memory for all responses that are being received. When it is exhausted, the attempt with the largest response is
 * cut off, so that a server that sends without end does not fail the responses of other servers.
 *
 * <p>Instances are thread-safe.
 */
public final class ResponseMemory {
    /** Responses are copied once when they are complete, and requests and the state of the fleet need memory too. */
    private static final long HEAP_FRACTION = 4;

    private final long limitBytes;
    private final Set<Share> shares = new HashSet<>();
    private long reservedBytes;

    private ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Creates a memory of the given size.
     *
     * @param limitBytes the maximum number of bytes, positive
     * @return the memory
     * @throws IllegalArgumentException if the limit is not positive
     */
    public static ResponseMemory ofBytes(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes must be positive: " + limitBytes);
        }
        return new ResponseMemory(limitBytes);
    }

    /**
     * Creates a memory of a quarter of the largest heap of this process.
     *
     * @return the memory
     */
    public static ResponseMemory ofHeap() {
        return ofBytes(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
    }

    /**
     * Opens the share of one attempt, which has to be closed.
     *
     * @param onRevoked cuts the attempt off; called at most once, from the thread of any attempt
     */
    Share open(Runnable onRevoked) {
        Share share = new Share(Objects.requireNonNull(onRevoked, "onRevoked"));
        synchronized (this) {
            shares.add(share);
        }
        return share;
    }

    /** The bytes that the response of one attempt occupies. */
    final class Share implements AutoCloseable {
        private final Runnable onRevoked;
        /** Guarded by the memory. */
        private long shareBytes;

        private volatile boolean revoked;

        private Share(Runnable onRevoked) {
            this.onRevoked = onRevoked;
        }

        /**
         * Reserves bytes, and cuts off the attempt with the largest share if all shares exceed the memory.
         *
         * @param bytes the number of bytes
         * @throws ResponseTooLargeException if this attempt is the one that is cut off
         */
        void reserve(long bytes) throws ResponseTooLargeException {
            Share largest = null;
            synchronized (ResponseMemory.this) {
                if (!revoked) {
                    shareBytes += bytes;
                    reservedBytes += bytes;
                    if (reservedBytes > limitBytes) {
                        largest = shares.stream()
                                .max(Comparator.comparingLong(share -> share.shareBytes))
                                .orElse(this);
                        largest.revoked = true;
                        largest.remove();
                    }
                }
            }
            if (revoked) {
                throw ResponseTooLargeException.of("all responses in flight exceed " + limitBytes + " bytes");
            }
            if (largest != null) {
                largest.onRevoked.run();
            }
        }

        boolean isRevoked() {
            return revoked;
        }

        @Override
        public void close() {
            synchronized (ResponseMemory.this) {
                remove();
            }
        }

        private void remove() {
            if (shares.remove(this)) {
                reservedBytes -= shareBytes;
            }
        }
    }
}
