package org.cassiabank.proxy;

import java.util.Optional;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.membership.Instance;

/**
 * The result of a request for a slot.
 */
sealed interface SlotResult {
    /** The reason when no slot was acquired because the request is not waited for any longer, mostly by its caller. */
    String ABANDONED = "caller-gone";

    /**
     * A slot was granted.
     *
     * @param shard the shard
     * @param owner the proxy that granted the slot, empty if this daemon's own scheduler granted it
     * @param leaseId the identifier of the lease at the owner
     * @param serverName the name of the backend server
     * @param address the address of the backend server
     * @param leaseExpiryMillis the time at which the lease expires, in milliseconds on the monotonic clock
     * @param digest identifies the request
     * @param hedgeDelayMillis the delay in milliseconds after which a hedge is worth its cost, 0 if none is
     */
    record Slot(
            ShardKey shard,
            Optional<Instance> owner,
            long leaseId,
            String serverName,
            String address,
            long leaseExpiryMillis,
            RequestDigest digest,
            long hedgeDelayMillis)
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
     * @param retryAfterMillis the delay after which the caller may retry, in milliseconds, 0 if none is advised
     * @param ownerName the name of the proxy that decided, or {@code self}
     */
    record NoSlot(String reason, long retryAfterMillis, String ownerName) implements SlotResult {}
}
