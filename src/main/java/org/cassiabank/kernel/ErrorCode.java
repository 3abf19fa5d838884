package org.cassiabank.kernel;

/**
 * The kind of a failure, so that code can handle it without parsing the message.
 */
public enum ErrorCode {
    /** A setting, declaration, argument or message is not valid. */
    INVALID_INPUT,
    /** Another operator has changed the same entity since it was read. */
    CONFLICT,
    /** The platform's store or instance list did not respond. */
    STORE_UNAVAILABLE,
    /** A peer did not respond or refused the connection. */
    PEER_UNAVAILABLE,
    /** A peer may have carried out a call but did not reply. */
    PEER_REPLY_MISSING,
    /** No service is registered in the kernel under the requested name and type. */
    SERVICE_MISSING,
    /** A service could not be started, for example because its port is in use. */
    START_FAILED
}
