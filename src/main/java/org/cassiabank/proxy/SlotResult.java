package org.cassiabank.proxy;

import java.util.Optional;
import org.cassiabank.membership.Instance;

/**
 * The end of the search for a slot.
 */
sealed interface SlotResult {
    /** The reason of a search that ended because the caller did not wait for it. */
    String CALLER_GONE = "caller-gone";

    /**
     * A slot was granted.
     *
     * @param shard the shard
     * @param owner the proxy that granted the slot, empty if this daemon scheduled on its own
     * @param lease the lease at the owner
     * @param server the name of the backend server
     * @param address the address of the backend server
     * @param expiresMillis when the lease lapses, on the monotonic clock
     * @param hedgeAfterMillis when a hedge is worth its cost, 0 if none is
     */
    record Slot(
            ShardKey shard,
            Optional<Instance> owner,
            long lease,
            String server,
            String address,
            long expiresMillis,
            long hedgeAfterMillis)
            implements SlotResult {

        /**
         * Returns the name of the proxy that granted the slot.
         *
         * @return the name, or {@code self}
         */
        String ownerName() {
            return owner.map(Instance::name).orElse("self");
        }
    }

    /**
     * No slot was granted.
     *
     * @param reason the reason, as shown to callers and in metrics
     * @param retryAfterMillis when to come back, in milliseconds
     * @param owner the name of the proxy that decided, or {@code self}
     */
    record NoSlot(String reason, long retryAfterMillis, String owner) implements SlotResult {}
}
