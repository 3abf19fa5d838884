package org.cassiabank.revision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Lets several operators call one store in an order that the test prescribes. Each entry of the order admits one call
 * of that operator; the entries of operators that have finished are skipped, and after the last entry all calls are
 * admitted.
 */
final class SequencedStore {
    private final ChangeStore store;
    private final Deque<Integer> callOrder;
    private final Set<Integer> finishedOperators = new HashSet<>();

    SequencedStore(ChangeStore store, List<Integer> callOrder) {
        this.store = store;
        this.callOrder = new ArrayDeque<>(callOrder);
    }

    ChangeStore storeFor(int operator) {
        return new ChangeStore() {
            @Override
            public Optional<StoredValue> read(String key) {
                return callInOrder(operator, () -> store.read(key));
            }

            @Override
            public boolean create(String key, byte[] value) {
                return callInOrder(operator, () -> store.create(key, value));
            }

            @Override
            public boolean compareAndSet(String key, long index, byte[] value) {
                return callInOrder(operator, () -> store.compareAndSet(key, index, value));
            }

            @Override
            public Optional<StoredValue> awaitChange(String key, long index, long waitMillis) {
                return callInOrder(operator, () -> store.awaitChange(key, index, waitMillis));
            }
        };
    }

    synchronized void markFinished(int operator) {
        finishedOperators.add(operator);
        notifyAll();
    }

    private synchronized <T> T callInOrder(int operator, Supplier<T> call) {
        try {
            while (true) {
                while (!callOrder.isEmpty() && finishedOperators.contains(callOrder.peek())) {
                    callOrder.poll();
                }
                if (callOrder.isEmpty() || callOrder.peek() == operator) {
                    break;
                }
                wait();
            }
            callOrder.poll();
            return call.get();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        } finally {
            notifyAll();
        }
    }
}
