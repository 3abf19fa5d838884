package org.cassiabank.kernel;

import java.util.List;
import java.util.Objects;

/**
 * The unchecked exception of the project: an {@link ErrorCode}, a message and any findings.
 */
public final class CassiabankException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final transient List<Finding> findings;

    private CassiabankException(ErrorCode code, String message, List<Finding> findings, Throwable cause) {
        super(message, cause);
        this.code = code;
        this.findings = findings;
    }

    /**
     * Creates an exception without a cause and without findings.
     *
     * @param code the kind of the failure, not null
     * @param message what happened, not null
     * @return the exception
     */
    public static CassiabankException of(ErrorCode code, String message) {
        return withCause(code, message, null);
    }

    /**
     * Creates an exception that wraps another one and has no findings.
     *
     * @param code the kind of the failure, not null
     * @param message what happened, not null
     * @param cause the underlying exception, may be null
     * @return the exception
     */
    public static CassiabankException withCause(ErrorCode code, String message, Throwable cause) {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        return new CassiabankException(code, message, List.of(), cause);
    }

    /**
     * Creates an exception that reports findings about invalid input.
     *
     * @param findings the findings, not empty
     * @return the exception with {@link ErrorCode#INVALID_INPUT}; its message has one line for each finding
     * @throws IllegalArgumentException if there are no findings
     */
    public static CassiabankException ofFindings(List<Finding> findings) {
        if (findings.isEmpty()) {
            throw new IllegalArgumentException("no findings to report");
        }
        StringBuilder message = new StringBuilder();
        for (Finding finding : findings) {
            message.append(message.isEmpty() ? "" : System.lineSeparator()).append(finding);
        }
        return new CassiabankException(ErrorCode.INVALID_INPUT, message.toString(), List.copyOf(findings), null);
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the code, never null
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns the findings that were reported together.
     *
     * @return the findings, empty if the failure is of another kind or the exception was deserialized
     */
    public List<Finding> findings() {
        return findings == null ? List.of() : findings;
    }
}
