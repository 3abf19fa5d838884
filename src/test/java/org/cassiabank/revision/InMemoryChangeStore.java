package org.cassiabank.revision;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/** A store for tests that counts calls and can lose single requests or answers. */
public final class InMemoryChangeStore implements ChangeStore {
    private final Map<String, StoredValue> values = new HashMap<>();
    private final Map<Integer, Fault> faults = new HashMap<>();
    private final Map<Integer, Call<?>> delayed = new HashMap<>();
    private long index;
    private int calls;
    private boolean available = true;
    private String lastWrittenKey = "";

    public enum Fault {
        REQUEST_LOST,
        ANSWER_LOST,
        /** The call gets no answer and takes effect three calls later. */
        DELAYED
    }

    private interface Call<T> {
        T run();
    }

    /** Lets one call fail, counted from the next one as 0. */
    public void failCall(int fromNow, Fault fault) {
        faults.put(calls + fromNow, fault);
    }

    public void setAvailable(boolean available) {
        this.available = available;
    }

    /** Ends the answers with the one to the creation of a key, which takes effect; {@link #setAvailable} resumes. */
    public void failAfterCreating(String key) {
        lastWrittenKey = key;
    }

    /** Lets all delayed calls take effect. */
    public void settle() {
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
        return answer(() -> Optional.ofNullable(values.get(key)));
    }

    @Override
    public synchronized boolean create(String key, byte[] value) {
        boolean created = answer(() -> values.putIfAbsent(key, new StoredValue(value, ++index)) == null);
        if (key.equals(lastWrittenKey)) {
            lastWrittenKey = "";
            available = false;
            throw CassiabankException.of(ErrorCode.STORE_UNAVAILABLE, "no answer from the store");
        }
        return created;
    }

    @Override
    public synchronized boolean compareAndSet(String key, long expected, byte[] value) {
        return answer(() -> {
            StoredValue present = values.get(key);
            if (present == null || present.index() != expected) {
                return false;
            }
            values.put(key, new StoredValue(value, ++index));
            return true;
        });
    }

    @Override
    public Optional<StoredValue> awaitChange(String key, long known, long waitMillis) {
        return read(key).filter(value -> value.index() > known);
    }

    private <T> T answer(Call<T> call) {
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
        if (fault == Fault.ANSWER_LOST) {
            throw CassiabankException.of(ErrorCode.STORE_UNAVAILABLE, "no answer from the store");
        }
        return result;
    }
}
