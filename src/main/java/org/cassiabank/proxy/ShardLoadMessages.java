package org.cassiabank.proxy;

import java.util.Optional;
import org.cassiabank.admission.ShardOccupancy;
import org.cassiabank.peer.generated.ShardLoad;
import org.cassiabank.peer.generated.SlotReply;

/**
 * Converts how busy the servers of a shard are, which owners state in their replies to requests for slots.
 */
final class ShardLoadMessages {

    private ShardLoadMessages() {}

    static SlotReply withOccupancy(SlotReply reply, ShardOccupancy occupancy) {
        ShardLoad load = new ShardLoad(occupancy.usableSlots(), occupancy.leasedSlots(), occupancy.queuedRequests());
        switch (reply.getSetField()) {
            case GRANT -> reply.getGrant().setLoad(load);
            case REFUSAL -> reply.getRefusal().setLoad(load);
            case QUEUED -> reply.getQueued().setLoad(load);
        }
        return reply;
    }

    /** Returns how busy a shard is; empty if it is the only one of its service, or the owner of an earlier release. */
    static Optional<ShardOccupancy> toOccupancy(SlotReply reply) {
        ShardLoad load =
                switch (reply.getSetField()) {
                    case GRANT -> reply.getGrant().getLoad();
                    case REFUSAL -> reply.getRefusal().getLoad();
                    case QUEUED -> reply.getQueued().getLoad();
                };
        return Optional.ofNullable(load)
                .map(present -> new ShardOccupancy(
                        present.getUsableSlots(), present.getLeasedSlots(), present.getQueuedRequests()));
    }
}
