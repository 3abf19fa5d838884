package org.cassiabank.http;

import java.io.IOException;

/**
 * Reports that a pooled connection must not be used for a request. Nothing has been written to it.
 */
public final class UnusableConnectionException extends IOException {
    private static final long serialVersionUID = 1;

    private UnusableConnectionException(String message) {
        super(message);
    }

    /**
     * Creates an exception.
     *
     * @param message what was observed
     * @return the exception
     */
    public static UnusableConnectionException of(String message) {
        return new UnusableConnectionException(message);
    }
}
