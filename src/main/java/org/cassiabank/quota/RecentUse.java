package org.cassiabank.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests of the last window. A request counts until a whole window after the end of the time slice in which it
 * was recorded, so that the sum is never too small.
 */
final class RecentUse {
    private static final long SLICES = 50;

    private final long windowMillis;
    private final long sliceMillis;
    private final Deque<Slice> slices = new ArrayDeque<>();
    private double sum;

    private record Slice(long endMillis, double requests) {}

    RecentUse(long windowMillis) {
        this.windowMillis = windowMillis;
        this.sliceMillis = Math.max(1, windowMillis / SLICES);
    }

    void add(double requests, long nowMillis) {
        long endMillis = (Math.floorDiv(nowMillis, sliceMillis) + 1) * sliceMillis;
        Slice last = slices.peekLast();
        if (last != null && last.endMillis() >= endMillis) {
            slices.removeLast();
            slices.addLast(new Slice(last.endMillis(), last.requests() + requests));
        } else {
            slices.addLast(new Slice(endMillis, requests));
        }
        sum += requests;
    }

    /** Takes back requests that have not run from the oldest slices, so that later sums are not too small. */
    void takeBack(double requests) {
        double remaining = requests;
        while (remaining > 0 && !slices.isEmpty()) {
            Slice oldest = slices.removeFirst();
            double taken = Math.min(remaining, oldest.requests());
            remaining -= taken;
            sum -= taken;
            if (oldest.requests() > taken) {
                slices.addFirst(new Slice(oldest.endMillis(), oldest.requests() - taken));
            }
        }
    }

    double sum(long nowMillis) {
        while (!slices.isEmpty() && slices.peekFirst().endMillis() + windowMillis <= nowMillis) {
            sum -= slices.removeFirst().requests();
        }
        if (slices.isEmpty()) {
            sum = 0;
        }
        return Math.max(0, sum);
    }

    /** Returns the time in milliseconds until the given number of requests has left the window. */
    long millisUntilGone(double requests, long nowMillis) {
        double gone = 0;
        for (Slice slice : slices) {
            gone += slice.requests();
            if (gone >= requests) {
                return Math.max(0, slice.endMillis() + windowMillis - nowMillis);
            }
        }
        return windowMillis;
    }
}
