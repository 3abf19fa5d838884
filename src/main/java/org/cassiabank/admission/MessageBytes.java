package org.cassiabank.admission;

/**
 * The size of the messages of an attempt that was answered.
 *
 * @param requestBytes the bytes of the body of the request, not negative
 * @param responseBytes the bytes of the body of the response, not negative
 */
public record MessageBytes(long requestBytes, long responseBytes) {

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public MessageBytes {
        if (requestBytes < 0 || responseBytes < 0) {
            throw new IllegalArgumentException("bytes must not be negative: " + requestBytes + ", " + responseBytes);
        }
    }

    /**
     * Returns the bytes of both messages.
     *
     * @return the sum
     */
    public long total() {
        return requestBytes + responseBytes;
    }
}
