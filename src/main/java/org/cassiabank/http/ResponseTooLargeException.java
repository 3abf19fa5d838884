package org.cassiabank.http;

import java.io.IOException;

/**
 * Reports that a response, or all responses in flight together, exceeded the permitted number of bytes.
 */
public final class ResponseTooLargeException extends IOException {
    private static final long serialVersionUID = 1;

    private ResponseTooLargeException(String message) {
        super(message);
    }

    /**
     * Creates an exception.
     *
     * @param message what was observed
     * @return the exception
     */
    public static ResponseTooLargeException of(String message) {
        return new ResponseTooLargeException(message);
    }
}
