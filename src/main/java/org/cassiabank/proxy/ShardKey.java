package org.cassiabank.proxy;

import java.util.Objects;

/**
 * Identifies a shard, a part of the backend servers of one service.
 *
 * @param service the name of the service
 * @param number the number of the shard, from 0
 */
record ShardKey(String service, int number) {

    ShardKey {
        Objects.requireNonNull(service, "service");
        if (number < 0) {
            throw new IllegalArgumentException("shard number must not be negative: " + number);
        }
    }

    @Override
    public String toString() {
        return service + "/" + number;
    }
}
