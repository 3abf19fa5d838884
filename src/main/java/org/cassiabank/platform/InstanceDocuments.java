package org.cassiabank.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.Findings;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Reads and writes the JSON form of the platform's instance list.
 */
public final class InstanceDocuments {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final String SOURCE = "instance list";

    private InstanceDocuments() {}

    /**
     * Reads an instance list.
     *
     * @param index the index of the list
     * @param document a JSON array of objects with the keys name, role, address, region, failureDomain and state
     * @return the list
     * @throws CassiabankException with all findings if the document is not valid
     */
    public static InstanceList parse(long index, byte[] document) {
        List<Map<String, String>> entries;
        try {
            entries = MAPPER.readValue(document, new TypeReference<List<Map<String, String>>>() {});
        } catch (IOException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT,
                    SOURCE + ": not a JSON array of objects: " + exception.getMessage(),
                    exception);
        }
        Findings findings = Findings.create();
        List<Instance> instances = new ArrayList<>(entries.size());
        for (int position = 0; position < entries.size(); position++) {
            try {
                instances.add(toInstance(entries.get(position)));
            } catch (IllegalArgumentException | NullPointerException exception) {
                findings.add(Finding.of(SOURCE, "[" + position + "]", exception.getMessage()));
            }
        }
        findings.throwIfAny();
        return InstanceList.of(index, instances);
    }

    /**
     * Writes an instance list in the form that {@link #parse} reads.
     *
     * @param instances the instances
     * @return the JSON document
     */
    public static byte[] toDocument(Collection<Instance> instances) {
        List<Map<String, String>> entries = instances.stream()
                .map(instance -> Map.of(
                        "name", instance.name(),
                        "role", instance.role().name().toLowerCase(Locale.ROOT),
                        "address", instance.address(),
                        "region", instance.region(),
                        "failureDomain", instance.failureDomain(),
                        "state", instance.state().name().toLowerCase(Locale.ROOT)))
                .toList();
        try {
            return MAPPER.writeValueAsBytes(entries);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("maps of strings can always be written", exception);
        }
    }

    private static Instance toInstance(Map<String, String> entry) {
        return new Instance(
                entry.get("name"),
                InstanceRole.valueOf(upperCase(entry, "role")),
                entry.get("address"),
                entry.get("region"),
                entry.get("failureDomain"),
                InstanceState.valueOf(upperCase(entry, "state")));
    }

    private static String upperCase(Map<String, String> entry, String key) {
        String value = entry.get(key);
        if (value == null) {
            throw new IllegalArgumentException("key " + key + " is missing");
        }
        return value.toUpperCase(Locale.ROOT);
    }
}
