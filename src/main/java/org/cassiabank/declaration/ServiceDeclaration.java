package org.cassiabank.declaration;

import java.util.Objects;

/**
 * Declares a service.
 *
 * @param name the name of the service
 * @param slots the number of requests that one backend server works on at a time
 * @param floor the number of servers that ejection must leave in service
 * @param deadlineMillis the time a request may take if its caller states no deadline, in milliseconds
 */
public record ServiceDeclaration(String name, int slots, int floor, long deadlineMillis) implements Declaration {

    /**
     * Checks the components.
     */
    public ServiceDeclaration {
        Objects.requireNonNull(name, "name");
        DeclarationRules.require(DeclarationRules.nameProblem(name));
        DeclarationRules.require(DeclarationRules.SLOTS.problem(slots));
        DeclarationRules.require(DeclarationRules.FLOOR.problem(floor));
        DeclarationRules.require(DeclarationRules.DEADLINE_MILLIS.problem(deadlineMillis));
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.SERVICE, name);
    }
}
