package org.cassiabank.declaration;

import java.util.Map;
import java.util.Objects;
import org.cassiabank.membership.Instance;

/**
 * A backend server with the labels that the rules give it.
 *
 * @param instance the instance
 * @param labels the labels
 * @param leaving whether the list or a label marks the server as leaving
 */
public record LabeledServer(Instance instance, Map<String, String> labels, boolean leaving) {

    /**
     * Checks and copies the components.
     */
    public LabeledServer {
        Objects.requireNonNull(instance, "instance");
        labels = Map.copyOf(labels);
    }

    /**
     * Tells whether the server carries all given labels.
     *
     * @param wanted the labels with their values
     * @return true if all are present with these values
     */
    public boolean hasLabels(Map<String, String> wanted) {
        return labels.entrySet().containsAll(wanted.entrySet());
    }
}
