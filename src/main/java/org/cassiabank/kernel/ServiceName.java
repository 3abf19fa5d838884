package org.cassiabank.kernel;

import java.util.Objects;

/**
 * The name under which a service is registered in the {@link Kernel}, with the type of the service.
 *
 * @param <T> the type of the service
 * @param name the name, unique among the services of a kernel
 * @param type the type of the service
 */
public record ServiceName<T>(String name, Class<T> type) {

    /**
     * Checks that no component is null.
     */
    public ServiceName {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(type, "type");
    }

    /**
     * Creates the name of a service.
     *
     * @param <T> the type of the service
     * @param name the name, unique among the services of a kernel
     * @param type the type of the service
     * @return the service name
     */
    public static <T> ServiceName<T> of(String name, Class<T> type) {
        return new ServiceName<>(name, type);
    }
}
