package org.cassiabank.kernel;

/**
 * Names the kind of a failure, so that callers can react to it without reading the message.
 */
public enum ErrorCode {
    /** A setting, declaration, argument or message is not valid. */
    INVALID_INPUT,
    /** Another operator changed the same entity first. */
    CONFLICT,
    /** The platform's store or instance list did not answer. */
    STORE_UNAVAILABLE,
    /** A peer did not answer or refused the connection. */
    PEER_UNAVAILABLE,
    /** A service was asked for that the kernel does not have. */
    SERVICE_MISSING,
    /** A service could not be started, for example because its port is in use. */
    START_FAILED
}
