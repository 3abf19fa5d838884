package org.cassiabank.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Lets several operators call one store in an order that the test prescribes, one call per turn. */
final class TurnTakingStore {
    private final ChangeStore store;
    private final Deque<Integer> turns;
    private final Set<Integer> finished = new HashSet<>();

    TurnTakingStore(ChangeStore store, List<Integer> turns) {
        this.store = store;
        this.turns = new ArrayDeque<>(turns);
    }

    ChangeStore viewOf(int operator) {
        return new ChangeStore() {
            @Override
            public Optional<StoredValue> read(String key) {
                return inTurn(operator, () -> store.read(key));
            }

            @Override
            public boolean create(String key, byte[] value) {
                return inTurn(operator, () -> store.create(key, value));
            }

            @Override
            public boolean compareAndSet(String key, long index, byte[] value) {
                return inTurn(operator, () -> store.compareAndSet(key, index, value));
            }

            @Override
            public Optional<StoredValue> awaitChange(String key, long index, long waitMillis) {
                return inTurn(operator, () -> store.awaitChange(key, index, waitMillis));
            }
        };
    }

    synchronized void finish(int operator) {
        finished.add(operator);
        notifyAll();
    }

    private synchronized <T> T inTurn(int operator, Supplier<T> call) {
        try {
            while (true) {
                while (!turns.isEmpty() && finished.contains(turns.peek())) {
                    turns.poll();
                }
                if (turns.isEmpty() || turns.peek() == operator) {
                    break;
                }
                wait();
            }
            turns.poll();
            return call.get();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        } finally {
            notifyAll();
        }
    }
}
