package org.cassiabank.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.http.PrintableText;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreEvent;
import org.cassiabank.source.StoreRevision;

/**
 * The document of a successful response of the store. Responses do not name their call, so the fields that the call
 * requires have to be there: a list without its items is the response to another call, not an empty list.
 *
 * <p>Every method throws {@link CassiabankException} with {@link ErrorCode#STORE_UNAVAILABLE} if a field is missing or
 * cannot belong to the call.
 */
final class StoreDocument {
    private static final String KEY = "key";
    private static final String REVISION = "rev";
    private static final String STORE_REVISION = "store_revision";

    /** The fields that tell the responses to different calls apart. */
    private static final Set<String> DISTINGUISHING_FIELDS =
            Set.of("items", "events", "lease", "ttl_time", REVISION, STORE_REVISION);

    private final String call;
    private final JsonNode root;

    private StoreDocument(String call, JsonNode root) {
        this.call = call;
        this.root = root;
    }

    /**
     * Creates a document whose fields are not checked yet.
     *
     * @param call the call, for messages
     * @param root the root of the document
     * @return the document
     */
    static StoreDocument of(String call, JsonNode root) {
        return new StoreDocument(Objects.requireNonNull(call, "call"), Objects.requireNonNull(root, "root"));
    }

    /**
     * Requires that the document has the given fields, and none that belongs to the response to another call. Fields
     * that belong to no known call are ignored.
     *
     * @param fields the names of the fields
     */
    void requireOnly(String... fields) {
        Set<String> missing = new HashSet<>(List.of(fields));
        Set<String> foreign = new HashSet<>(DISTINGUISHING_FIELDS);
        missing.removeIf(root::has);
        foreign.removeAll(List.of(fields));
        foreign.removeIf(field -> !root.has(field));
        if (!missing.isEmpty() || !foreign.isEmpty()) {
            throw failure(call, "the response lacks " + missing + " and has " + foreign + " of another call", null);
        }
    }

    /**
     * Reads a whole number above 0.
     *
     * @param field the name of the field
     * @return the number
     */
    long positiveNumber(String field) {
        return positiveNumber(root, field);
    }

    /**
     * Reads a truth value.
     *
     * @param field the name of the field
     * @return the value
     */
    boolean flag(String field) {
        JsonNode value = root.path(field);
        if (!value.isBoolean()) {
            throw failure(call, "the response has no " + field, null);
        }
        return value.booleanValue();
    }

    /**
     * Reads the revision of the store.
     *
     * @param era the era of the store
     * @return the revision
     */
    StoreRevision storeRevision(long era) {
        return new StoreRevision(era, positiveNumber(STORE_REVISION));
    }

    /**
     * Reads the entries of a page.
     *
     * @param field the name of the field
     * @param prefix the prefix of the keys that the call asked for
     * @param afterKey the key after which the page begins, which it cannot hold
     * @param era the era of the store
     * @return the entries
     */
    List<StoreEntry> entries(String field, String prefix, String afterKey, long era) {
        List<StoreEntry> entries = new ArrayList<>();
        Set<String> keys = new HashSet<>(Set.of(afterKey));
        for (JsonNode item : array(field)) {
            StoreEntry entry = entry(item, prefix, era);
            if (!keys.add(entry.key())) {
                throw failure(
                        call,
                        "the page holds key " + PrintableText.abbreviate(entry.key())
                                + " twice or begins with it again",
                        null);
            }
            entries.add(entry);
        }
        return entries;
    }

    /**
     * Reads the events of a watch.
     *
     * @param field the name of the field
     * @param prefix the prefix of the keys that the call asked for
     * @param era the era of the store
     * @return the events
     */
    List<StoreEvent> events(String field, String prefix, long era) {
        List<StoreEvent> events = new ArrayList<>();
        for (JsonNode event : array(field)) {
            events.add(
                    event.path("deleted").asBoolean()
                            ? new StoreEvent.Removed(key(event, prefix), revision(event, era))
                            : new StoreEvent.Written(entry(event, prefix, era)));
        }
        return events;
    }

    private JsonNode array(String field) {
        JsonNode array = root.path(field);
        if (!array.isArray()) {
            throw failure(call, "the response has no " + field, null);
        }
        return array;
    }

    private StoreEntry entry(JsonNode item, String prefix, long era) {
        String key = key(item, prefix);
        try {
            byte[] value = item.path("value").binaryValue();
            if (value == null) {
                throw failure(call, "the entry " + PrintableText.abbreviate(key) + " has no value", null);
            }
            return new StoreEntry(key, value, revision(item, era));
        } catch (IOException exception) {
            throw failure(call, "the value of entry " + PrintableText.abbreviate(key) + " is not base64", exception);
        }
    }

    private String key(JsonNode item, String prefix) {
        JsonNode key = item.path(KEY);
        if (!key.isTextual() || key.textValue().isEmpty() || !key.textValue().startsWith(prefix)) {
            throw failure(call, "the key " + PrintableText.abbreviate(key.toString()) + " was not asked for", null);
        }
        return key.textValue();
    }

    private StoreRevision revision(JsonNode item, long era) {
        return new StoreRevision(era, positiveNumber(item, REVISION));
    }

    private long positiveNumber(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 1) {
            throw failure(
                    call,
                    field + " is not a positive whole number: " + PrintableText.abbreviate(value.toString()),
                    null);
        }
        return value.longValue();
    }

    /**
     * Creates the failure of a call.
     *
     * @param call the call
     * @param reason what went wrong
     * @param cause the exception behind it, null if there is none
     * @return an exception with {@link ErrorCode#STORE_UNAVAILABLE}
     */
    static CassiabankException failure(String call, String reason, Exception cause) {
        return CassiabankException.withCause(
                ErrorCode.STORE_UNAVAILABLE, "store call " + call + " failed: " + reason, cause);
    }
}
