package org.cassiabank.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.kernel.Finding;
import org.cassiabank.kernel.FindingCollector;

/**
 * Reads and writes the JSON form of the platform's instance list.
 */
public final class InstanceListCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final String SOURCE = "instance list";
    private static final String LABEL_PREFIX = "label.";

    private InstanceListCodec() {}

    /**
     * Reads an instance list.
     *
     * @param index the index of the list
     * @param document a JSON array of objects with the keys name, role, address, region, failureDomain and state, and
     *     optionally slots, incarnation and keys with the prefix {@code label.}
     * @return the list
     * @throws CassiabankException with code INVALID_INPUT if the document is not a JSON array of objects, and with all
     *     findings if entries are not valid
     */
    public static InstanceList parse(long index, byte[] document) {
        List<Map<String, String>> entries;
        try {
            entries = Objects.requireNonNullElse(
                    MAPPER.readValue(document, new TypeReference<List<Map<String, String>>>() {}), List.of());
        } catch (IOException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT,
                    SOURCE + ": not a JSON array of objects: " + exception.getMessage(),
                    exception);
        }
        FindingCollector findings = FindingCollector.create();
        List<Instance> instances = new ArrayList<>(entries.size());
        Set<String> names = new HashSet<>();
        for (int position = 0; position < entries.size(); position++) {
            try {
                Instance instance = toInstance(entries.get(position));
                if (!names.add(instance.name())) {
                    throw new IllegalArgumentException("a second instance named " + instance.name());
                }
                instances.add(instance);
            } catch (IllegalArgumentException exception) {
                findings.add(Finding.of(SOURCE, "[" + position + "]", exception.getMessage()));
            }
        }
        findings.throwIfAny();
        return InstanceList.of(index, instances);
    }

    /**
     * Reads a list that consists of one instance.
     *
     * @param document a JSON document in the form that {@link #parse} reads
     * @return the instance
     * @throws CassiabankException with code INVALID_INPUT if the document is not a valid list of one instance
     */
    public static Instance parseOne(byte[] document) {
        Collection<Instance> instances = parse(1, document).instances();
        if (instances.size() != 1) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT, SOURCE + ": expected one instance, found " + instances.size());
        }
        return instances.iterator().next();
    }

    /**
     * Writes an instance list in the form that {@link #parse} reads.
     *
     * @param instances the instances
     * @return the JSON document
     */
    public static byte[] toJson(Collection<Instance> instances) {
        List<Map<String, String>> entries =
                instances.stream().map(InstanceListCodec::toEntry).toList();
        try {
            return MAPPER.writeValueAsBytes(entries);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("maps of strings can always be written", exception);
        }
    }

    private static Map<String, String> toEntry(Instance instance) {
        Map<String, String> entry = new HashMap<>();
        entry.put("name", instance.name());
        entry.put("role", instance.role().name().toLowerCase(Locale.ROOT));
        entry.put("address", instance.address());
        entry.put("region", instance.region());
        entry.put("failureDomain", instance.failureDomain());
        entry.put("state", instance.state().name().toLowerCase(Locale.ROOT));
        instance.labels().forEach((label, value) -> entry.put(LABEL_PREFIX + label, value));
        if (instance.slots() > 0) {
            entry.put("slots", Integer.toString(instance.slots()));
        }
        if (instance.incarnation() != 0) {
            entry.put("incarnation", Long.toString(instance.incarnation()));
        }
        return entry;
    }

    private static Instance toInstance(Map<String, String> entry) {
        if (entry == null) {
            throw new IllegalArgumentException("expected an object, found null");
        }
        return new Instance(
                required(entry, "name"),
                InstanceRole.valueOf(upperCase(entry, "role")),
                required(entry, "address"),
                required(entry, "region"),
                required(entry, "failureDomain"),
                InstanceState.valueOf(upperCase(entry, "state")),
                labels(entry),
                Integer.parseInt(entry.getOrDefault("slots", "0")),
                Long.parseLong(entry.getOrDefault("incarnation", "0")));
    }

    private static Map<String, String> labels(Map<String, String> entry) {
        Map<String, String> labels = new HashMap<>();
        entry.forEach((key, value) -> {
            if (key.startsWith(LABEL_PREFIX)) {
                labels.put(key.substring(LABEL_PREFIX.length()), value);
            }
        });
        return labels;
    }

    private static String upperCase(Map<String, String> entry, String key) {
        return required(entry, key).toUpperCase(Locale.ROOT);
    }

    private static String required(Map<String, String> entry, String key) {
        String value = entry.get(key);
        if (value == null) {
            throw new IllegalArgumentException("key " + key + " is missing");
        }
        return value;
    }
}
