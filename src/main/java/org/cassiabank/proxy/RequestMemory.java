package org.cassiabank.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * The memory for the bodies of all requests that are being read or answered. It answers bursts of large uploads: each
 * is within its limit, but together they exceed the heap. A large body that finds no room waits before it is read.
 *
 * <p>Instances are thread-safe.
 */
final class RequestMemory {
    /** While a body arrives it is held outside of the heap, so that half of the heap remains for all else. */
    private static final long HEAP_FRACTION = 2;

    /** Bodies up to this size always find room, so that uploads do not delay small requests. */
    private static final long SMALL_BODY_BYTES = 64 * 1_024;

    private final long limitBytes;
    private final Deque<Reservation> waiting = new ArrayDeque<>();
    private long reservedBytes;

    private RequestMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Creates a memory of the given size.
     *
     * @param limitBytes the bytes that large bodies may occupy together, positive
     * @return the memory
     * @throws IllegalArgumentException if the limit is not positive
     */
    static RequestMemory ofBytes(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes must be positive: " + limitBytes);
        }
        return new RequestMemory(limitBytes);
    }

    /** Creates a memory of half of the largest heap of this process. */
    static RequestMemory ofHeap() {
        return ofBytes(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
    }

    /** Opens the reservation of one request, which has to be closed. */
    Reservation open() {
        return new Reservation();
    }

    /** Returns the bytes that all requests have reserved. */
    synchronized long reservedBytes() {
        return reservedBytes;
    }

    /** Returns the number of requests that wait for room. */
    synchronized int waitingRequests() {
        return waiting.size();
    }

    private void grantWaiting() {
        while (!waiting.isEmpty() && hasRoomFor(waiting.getFirst())) {
            Reservation granted = waiting.removeFirst();
            granted.add(granted.requestedBytes);
            granted.requestedBytes = 0;
            granted.onGranted.run();
        }
    }

    /** A body larger than the whole memory is let through alone, because it would wait for ever. */
    private boolean hasRoomFor(Reservation reservation) {
        return reservedBytes + reservation.requestedBytes <= limitBytes || reservedBytes == reservation.heldBytes;
    }

    /** The bytes of one request. */
    final class Reservation implements AutoCloseable {
        /** The fields are guarded by the memory. */
        private long heldBytes;

        private long requestedBytes;
        private Runnable onGranted;
        private boolean closed;

        private Reservation() {}

        /**
         * Reserves further bytes, or waits for room behind the requests that wait already.
         *
         * @param bytes the further bytes, not negative
         * @param whenGranted called once there is room, from the thread of any request; not called if there is room now
         *     or if the reservation is closed before
         * @return true if the bytes are reserved now
         * @throws IllegalStateException if the reservation waits already
         */
        boolean reserve(long bytes, Runnable whenGranted) {
            Objects.requireNonNull(whenGranted, "whenGranted");
            synchronized (RequestMemory.this) {
                if (requestedBytes > 0) {
                    throw new IllegalStateException("the reservation waits for " + requestedBytes + " bytes");
                }
                requestedBytes = bytes;
                boolean small = heldBytes + bytes <= SMALL_BODY_BYTES;
                if (closed || small || waiting.isEmpty() && hasRoomFor(this)) {
                    add(bytes);
                    requestedBytes = 0;
                    return true;
                }
                onGranted = whenGranted;
                waiting.addLast(this);
                return false;
            }
        }

        private void add(long bytes) {
            if (!closed) {
                heldBytes += bytes;
                reservedBytes += bytes;
            }
        }

        /** Returns the bytes and ends the wait; further calls have no effect. */
        @Override
        public void close() {
            synchronized (RequestMemory.this) {
                closed = true;
                waiting.remove(this);
                reservedBytes -= heldBytes;
                heldBytes = 0;
                grantWaiting();
            }
        }
    }
}
