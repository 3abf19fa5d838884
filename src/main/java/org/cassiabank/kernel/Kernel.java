package org.cassiabank.kernel;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The micro-kernel of a process: a registry in which services find each other by name, and their life cycle.
 *
 * <p>Services are registered before {@link #start()}. After it, {@link #find} and {@link #get} are safe for use by many
 * threads.
 */
public final class Kernel implements AutoCloseable {
    private final Map<String, Object> servicesByName = new LinkedHashMap<>();
    private final List<KernelService> startedServices = new ArrayList<>();

    private Kernel() {}

    /**
     * Creates a kernel without services.
     *
     * @return the kernel
     */
    public static Kernel create() {
        return new Kernel();
    }

    /**
     * Registers a service.
     *
     * @param <T> the type of the service
     * @param name the name under which the service is found
     * @param service the service, not null; it is started and stopped if it is a {@link KernelService}
     * @return this kernel
     * @throws IllegalStateException if the name is already in use
     */
    public <T> Kernel register(ServiceName<T> name, T service) {
        Objects.requireNonNull(service, "service");
        if (servicesByName.putIfAbsent(name.name(), service) != null) {
            throw new IllegalStateException("a service named " + name.name() + " is already registered");
        }
        return this;
    }

    /**
     * Finds a service.
     *
     * @param <T> the type of the service
     * @param name the name under which it is registered
     * @return the service, or empty if there is none of that name and type
     */
    public <T> Optional<T> find(ServiceName<T> name) {
        Object service = servicesByName.get(name.name());
        return name.type().isInstance(service) ? Optional.of(name.type().cast(service)) : Optional.empty();
    }

    /**
     * Returns a service that is required.
     *
     * @param <T> the type of the service
     * @param name the name under which it is registered
     * @return the service
     * @throws CassiabankException with {@link ErrorCode#SERVICE_MISSING} if there is none of that name and type
     */
    public <T> T get(ServiceName<T> name) {
        return find(name)
                .orElseThrow(() -> CassiabankException.of(
                        ErrorCode.SERVICE_MISSING, "no service is registered under the name " + name.name()));
    }

    /**
     * Starts all services in the order of registration. If one fails, those already started are stopped and its
     * exception is thrown.
     *
     * @throws CassiabankException if a service cannot start
     */
    public void start() {
        for (Object service : servicesByName.values()) {
            if (service instanceof KernelService kernelService) {
                try {
                    kernelService.start(this);
                    startedServices.add(kernelService);
                } catch (RuntimeException exception) {
                    close();
                    throw exception;
                }
            }
        }
    }

    /**
     * Stops the started services in reverse order of their start, also if one of them fails to stop. A second call has
     * no effect.
     *
     * @throws RuntimeException the first exception of a service that failed to stop, after all were asked to
     */
    @Override
    public void close() {
        RuntimeException firstFailure = null;
        while (!startedServices.isEmpty()) {
            try {
                startedServices.removeLast().stop();
            } catch (RuntimeException exception) {
                if (firstFailure == null) {
                    firstFailure = exception;
                } else {
                    firstFailure.addSuppressed(exception);
                }
            }
        }
        if (firstFailure != null) {
            throw firstFailure;
        }
    }
}
