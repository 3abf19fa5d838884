package org.cassiabank.declaration;

import java.util.Map;
import java.util.Objects;

/**
 * Sets labels on all instances whose names match a pattern.
 *
 * @param name the name of the rule
 * @param instances the glob pattern of instance names
 * @param set the labels with their values, at least one
 */
public record LabelRule(String name, String instances, Map<String, String> set) implements Declaration {
    /** The label that puts an instance into a service. */
    public static final String SERVICE_LABEL = "service";

    /** The label that marks an instance as leaving when its value is {@code true}. */
    public static final String LEAVING_LABEL = "leaving";

    /**
     * Checks and copies the components.
     */
    public LabelRule {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(instances, "instances");
        set = Map.copyOf(set);
        DeclarationRules.require(DeclarationRules.nameProblem(name));
        DeclarationRules.require(DeclarationRules.globProblem(instances));
        DeclarationRules.require(DeclarationRules.labelRuleProblem(set));
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.LABEL, name);
    }
}
