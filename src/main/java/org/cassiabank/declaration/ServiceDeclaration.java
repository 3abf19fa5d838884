package org.cassiabank.declaration;

import java.util.Objects;

/**
 * Declares a service, the capacity of its backend servers and the limits on ejections and on the time of requests.
 *
 * @param name the name of the service
 * @param slotsPerServer the number of requests that one backend server processes at a time
 * @param ejectionFloor the minimum number of backend servers that ejections leave in service
 * @param defaultDeadlineMillis the time a request may take if its caller sends no deadline, in milliseconds
 */
public record ServiceDeclaration(String name, int slotsPerServer, int ejectionFloor, long defaultDeadlineMillis)
        implements Declaration {

    /**
     * Checks the name and the ranges of all numbers.
     *
     * @throws IllegalArgumentException if the name is malformed or a number is out of range
     */
    public ServiceDeclaration {
        Objects.requireNonNull(name, "name");
        DeclarationRules.throwIfPresent(DeclarationRules.nameProblem(name));
        DeclarationRules.throwIfPresent(DeclarationRules.SLOTS.problem(slotsPerServer));
        DeclarationRules.throwIfPresent(DeclarationRules.FLOOR.problem(ejectionFloor));
        DeclarationRules.throwIfPresent(DeclarationRules.DEADLINE_MILLIS.problem(defaultDeadlineMillis));
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.SERVICE, name);
    }
}
