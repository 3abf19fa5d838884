package org.cassiabank.operator;

/**
 * The result of reading the status page of a proxy.
 */
sealed interface ProxyStatus {

    /**
     * The status of a proxy that responded.
     *
     * @param name the name of the instance
     * @param revision the revision of the configuration that it uses
     */
    record Reported(String name, long revision) implements ProxyStatus {}

    /**
     * A proxy that did not respond, or whose response has no status.
     *
     * @param reason the failure, as text for the operator
     */
    record Unknown(String reason) implements ProxyStatus {}
}
