package org.cassiabank.backend;

import java.io.IOException;

/**
 * Reports that a response, or all responses in flight together, exceeded the permitted number of bytes.
 */
final class ResponseTooLargeException extends IOException {
    private static final long serialVersionUID = 1;

    private ResponseTooLargeException(String message) {
        super(message);
    }

    static ResponseTooLargeException of(String message) {
        return new ResponseTooLargeException(message);
    }
}
