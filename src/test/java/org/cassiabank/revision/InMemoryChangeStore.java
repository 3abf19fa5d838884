package org.cassiabank.revision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/** A store for tests that counts calls and can lose or delay single requests and lose single responses. */
public final class InMemoryChangeStore implements ChangeStore {
    private final Map<String, StoredValue> values = new HashMap<>();
    private final Map<Integer, Fault> faults = new HashMap<>();
    private final Map<Integer, Call<?>> delayed = new HashMap<>();
    private long modificationIndex;
    private int calls;
    private boolean available = true;
    private String keyOfLastCreation = "";

    public enum Fault {
        REQUEST_LOST,
        RESPONSE_LOST,
        /** The call gets no response and takes effect three calls later. */
        DELAYED
    }

    private interface Call<T> {
        T run();
    }

    /** Makes one call fail; 0 is the next call. */
    public void failCall(int callsAhead, Fault fault) {
        faults.put(calls + callsAhead, fault);
    }

    public void setAvailable(boolean available) {
        this.available = available;
    }

    /**
     * Makes the store unavailable at the creation of a key, which takes effect but gets no response, until
     * {@link #setAvailable} is called.
     */
    public void failAfterCreating(String key) {
        keyOfLastCreation = key;
    }

    /** Executes all calls that are still delayed. */
    public void applyDelayedCalls() {
        delayed.values().forEach(Call::run);
        delayed.clear();
    }

    public int calls() {
        return calls;
    }

    public Map<String, StoredValue> values() {
        return values;
    }

    @Override
    public synchronized Optional<StoredValue> read(String key) {
        return execute(() -> Optional.ofNullable(values.get(key)));
    }

    @Override
    public synchronized boolean create(String key, byte[] value) {
        boolean created = execute(() -> values.putIfAbsent(key, new StoredValue(value, ++modificationIndex)) == null);
        if (key.equals(keyOfLastCreation)) {
            keyOfLastCreation = "";
            available = false;
            throw CassiabankException.of(ErrorCode.STORE_UNAVAILABLE, "no answer from the store");
        }
        return created;
    }

    @Override
    public synchronized boolean compareAndSet(String key, long expectedIndex, byte[] value) {
        return execute(() -> {
            StoredValue present = values.get(key);
            if (present == null || present.index() != expectedIndex) {
                return false;
            }
            values.put(key, new StoredValue(value, ++modificationIndex));
            return true;
        });
    }

    @Override
    public Optional<StoredValue> awaitChange(String key, long knownIndex, long waitMillis) {
        return read(key).filter(value -> value.index() > knownIndex);
    }

    private <T> T execute(Call<T> call) {
        Call<?> due = delayed.remove(calls);
        if (due != null) {
            due.run();
        }
        Fault fault = faults.remove(calls++);
        if (available && fault == Fault.DELAYED) {
            delayed.put(calls + 2, call);
            throw CassiabankException.of(ErrorCode.STORE_UNAVAILABLE, "no answer from the store");
        }
        if (!available || fault == Fault.REQUEST_LOST) {
            throw CassiabankException.of(ErrorCode.STORE_UNAVAILABLE, "no answer from the store");
        }
        T result = call.run();
        if (fault == Fault.RESPONSE_LOST) {
            throw CassiabankException.of(ErrorCode.STORE_UNAVAILABLE, "no answer from the store");
        }
        return result;
    }
}
