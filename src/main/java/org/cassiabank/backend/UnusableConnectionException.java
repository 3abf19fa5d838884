package org.cassiabank.backend;

import java.io.IOException;

/**
 * Reports that a pooled connection must not be used for a request. Nothing has been written to it.
 */
final class UnusableConnectionException extends IOException {
    private static final long serialVersionUID = 1;

    private UnusableConnectionException(String message) {
        super(message);
    }

    static UnusableConnectionException of(String message) {
        return new UnusableConnectionException(message);
    }
}
