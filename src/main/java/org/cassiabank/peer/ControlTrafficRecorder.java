package org.cassiabank.peer;

/**
 * Counts the messages between proxies, so that their cost can be measured from the first day.
 */
@FunctionalInterface
public interface ControlTrafficRecorder {

    /**
     * Records one call.
     *
     * @param kind the kind of the message, for example {@code exchange}
     * @param bytesSent the bytes written for the request
     * @param bytesReceived the bytes read for the reply
     */
    void record(String kind, long bytesSent, long bytesReceived);

    /**
     * Returns a counter that ignores all calls.
     *
     * @return the counter
     */
    static ControlTrafficRecorder noOp() {
        return (kind, bytesSent, bytesReceived) -> {};
    }
}
