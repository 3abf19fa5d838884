package org.cassiabank.declaration;

import java.util.Objects;

/**
 * Declares a service.
 *
 * @param name the name of the service
 * @param slotsPerServer the number of requests that one backend server works on at a time
 * @param ejectionFloor the number of servers that ejection must leave in service
 * @param defaultDeadlineMillis the time a request may take if its caller states no deadline, in milliseconds
 */
public record ServiceDeclaration(String name, int slotsPerServer, int ejectionFloor, long defaultDeadlineMillis)
        implements Declaration {

    /**
     * Checks the components.
     */
    public ServiceDeclaration {
        Objects.requireNonNull(name, "name");
        DeclarationRules.require(DeclarationRules.nameProblem(name));
        DeclarationRules.require(DeclarationRules.SLOTS.problem(slotsPerServer));
        DeclarationRules.require(DeclarationRules.FLOOR.problem(ejectionFloor));
        DeclarationRules.require(DeclarationRules.DEADLINE_MILLIS.problem(defaultDeadlineMillis));
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.SERVICE, name);
    }
}
