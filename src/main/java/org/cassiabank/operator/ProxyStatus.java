package org.cassiabank.operator;

/**
 * What a proxy reports about itself.
 */
sealed interface ProxyStatus {

    /**
     * A proxy that answered.
     *
     * @param name the name of the instance
     * @param revision the revision of its configuration
     */
    record Reported(String name, long revision) implements ProxyStatus {}

    /**
     * A proxy that did not answer or answered with something else.
     *
     * @param reason what went wrong
     */
    record Unknown(String reason) implements ProxyStatus {}
}
