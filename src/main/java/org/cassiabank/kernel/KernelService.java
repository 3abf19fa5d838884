package org.cassiabank.kernel;

/**
 * A service with a life cycle. The kernel starts services in the order of registration and stops them in reverse.
 */
public interface KernelService {

    /**
     * Starts the service. The kernel finds all registered services, including those not started yet.
     *
     * @param kernel the kernel in which the service is registered
     * @throws CassiabankException if the service cannot start
     */
    default void start(Kernel kernel) {}

    /**
     * Stops the service and releases its resources. Called at most once, and only after a successful start.
     */
    default void stop() {}
}
