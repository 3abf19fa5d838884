package org.cassiabank.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Compares the entities of two configurations. Their revisions are not compared.
 */
public final class ConfigurationDifference {
    private ConfigurationDifference() {}

    /**
     * Finds the entities that differ.
     *
     * @param earlier the earlier configuration
     * @param later the later configuration
     * @return the differences in the order of their keys; they contain no keys of customers and no digests of them
     */
    public static List<EntityDifference> between(Configuration earlier, Configuration later) {
        Objects.requireNonNull(earlier, "earlier");
        Objects.requireNonNull(later, "later");
        List<EntityDifference> differences = new ArrayList<>();
        for (EntityKind kind : EntityKind.values()) {
            earlier.entitiesOfKind(kind).forEachDifference(later.entitiesOfKind(kind), (name, before, after) -> {
                EntityKey key = new EntityKey(kind, name);
                if (before == null) {
                    differences.add(new EntityDifference.Added(key));
                } else if (after == null) {
                    differences.add(new EntityDifference.Removed(key));
                } else if (!before.declaration().equals(after.declaration())) {
                    differences.add(new EntityDifference.Changed(
                            key, changedFields(before.declaration(), after.declaration())));
                }
            });
        }
        differences.sort(Comparator.comparing(EntityDifference::key));
        return List.copyOf(differences);
    }

    private static List<String> changedFields(Declaration before, Declaration after) {
        ObjectNode fieldsBefore = DeclarationCodec.writeWithDefaults(before);
        ObjectNode fieldsAfter = DeclarationCodec.writeWithDefaults(after);
        List<String> changes = new ArrayList<>();
        if (before instanceof CustomerDeclaration customerBefore
                && after instanceof CustomerDeclaration customerAfter) {
            fieldsBefore.remove(DeclarationCodec.KEY_DIGESTS);
            fieldsAfter.remove(DeclarationCodec.KEY_DIGESTS);
            if (!customerBefore.keyDigests().equals(customerAfter.keyDigests())) {
                changes.add("keys " + countMissing(customerAfter.keyDigests(), customerBefore.keyDigests())
                        + " added and " + countMissing(customerBefore.keyDigests(), customerAfter.keyDigests())
                        + " removed");
            }
        }
        Set<String> names = new LinkedHashSet<>();
        fieldsBefore.fieldNames().forEachRemaining(names::add);
        fieldsAfter.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            JsonNode valueBefore = fieldsBefore.path(name);
            JsonNode valueAfter = fieldsAfter.path(name);
            if (!valueBefore.equals(valueAfter)) {
                changes.add(name + " " + describe(valueBefore) + " -> " + describe(valueAfter));
            }
        }
        return changes;
    }

    private static String describe(JsonNode value) {
        return value.isMissingNode() ? "none" : value.toString();
    }

    private static int countMissing(Set<String> digests, Set<String> others) {
        Set<String> missing = new HashSet<>(digests);
        missing.removeAll(others);
        return missing.size();
    }
}
