package org.cassiabank.store;

/**
 * A response of the platform's service.
 *
 * @param status the HTTP status, below 500
 * @param index the value of {@code X-Consul-Index}, 0 if absent
 * @param body the bytes of the body, not copied
 */
record PlatformResponse(int status, long index, byte[] body) {
    private static final int NOT_FOUND = 404;

    boolean isNotFound() {
        return status == NOT_FOUND;
    }
}
