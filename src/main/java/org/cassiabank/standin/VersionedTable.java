package org.cassiabank.standin;

import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Key-value table of the stand-in for the platform, with one modification index over all keys. Thread-safe.
 */
final class VersionedTable {
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private long lastIndex = 1;

    private VersionedTable() {}

    static VersionedTable create() {
        return new VersionedTable();
    }

    Optional<Entry> read(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    long lastIndex() {
        lock.lock();
        try {
            return lastIndex;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Writes a value if the key has the expected modification index.
     *
     * @param key the key
     * @param expectedIndex the expected modification index, 0 if the key must not exist, negative to write in any case
     * @param value the value
     * @return true if the value was written, false if the index differs
     */
    boolean write(String key, long expectedIndex, byte[] value) {
        lock.lock();
        try {
            Entry current = entries.get(key);
            long currentIndex = current == null ? 0 : current.index();
            if (expectedIndex >= 0 && currentIndex != expectedIndex) {
                return false;
            }
            lastIndex++;
            entries.put(key, new Entry(value, lastIndex));
            changed.signalAll();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until the modification index of the key is above {@code knownIndex}, at most {@code waitMillis}. */
    void awaitChange(String key, long knownIndex, long waitMillis) throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (remainingNanos > 0 && !isNewer(key, knownIndex)) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean isNewer(String key, long knownIndex) {
        Entry entry = entries.get(key);
        return entry != null && entry.index() > knownIndex;
    }

    /**
     * A value with its modification index.
     *
     * @param value the value
     * @param index the modification index of the write that stored it
     */
    record Entry(byte[] value, long index) {
        String toJson(String key) {
            return "[{\"Key\":\"" + key + "\",\"ModifyIndex\":" + index + ",\"Value\":\""
                    + Base64.getEncoder().encodeToString(value) + "\"}]";
        }
    }
}
