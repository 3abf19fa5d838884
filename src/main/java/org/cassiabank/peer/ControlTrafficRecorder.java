package org.cassiabank.peer;

/**
 * Counts the calls between proxies and their bytes, so that the cost of control traffic can be measured.
 */
@FunctionalInterface
public interface ControlTrafficRecorder {

    /**
     * Records one completed call.
     *
     * @param kind the kind of the call, for example {@code exchange}
     * @param bytesSent the bytes written for the request
     * @param bytesReceived the bytes read for the reply
     */
    void record(String kind, long bytesSent, long bytesReceived);

    /**
     * Returns a recorder that ignores all calls.
     *
     * @return the recorder
     */
    static ControlTrafficRecorder noOp() {
        return (kind, bytesSent, bytesReceived) -> {};
    }
}
