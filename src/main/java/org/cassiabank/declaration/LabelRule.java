package org.cassiabank.declaration;

import java.util.Map;
import java.util.Objects;

/**
 * Declares labels that are set on all instances whose names match a pattern.
 *
 * @param name the name of the rule
 * @param instances the glob pattern of instance names
 * @param set the labels with their values, at least one
 */
public record LabelRule(String name, String instances, Map<String, String> set) implements Declaration {
    /** The label that assigns an instance to the service named by its value. */
    public static final String SERVICE_LABEL = "service";

    /** The label that marks an instance as leaving when its value is {@code true}. */
    public static final String LEAVING_LABEL = "leaving";

    /**
     * Copies the labels and checks the values.
     *
     * @throws IllegalArgumentException if the name, the pattern or a label is malformed or no label is set
     */
    public LabelRule {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(instances, "instances");
        set = Map.copyOf(set);
        DeclarationRules.throwIfPresent(DeclarationRules.nameProblem(name));
        DeclarationRules.throwIfPresent(DeclarationRules.globProblem(instances));
        DeclarationRules.throwIfPresent(DeclarationRules.labelRuleProblem(set));
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.LABEL, name);
    }
}
