package org.cassiabank.revision;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Reads and writes the snapshots in the store, whose values are too small for a large configuration.
 */
final class StoredSnapshots {
    private static final int LONGEST_PART = 512 * 1024;

    private final ChangeStore store;

    private StoredSnapshots(ChangeStore store) {
        this.store = store;
    }

    static StoredSnapshots over(ChangeStore store) {
        return new StoredSnapshots(store);
    }

    /** The content of the key that names the newest snapshot. */
    private record Pointer(long revision, List<String> parts, String digest) {
        byte[] toDocument() {
            ObjectNode node = ChangeCodec.JSON.createObjectNode();
            node.put("revision", revision).put("digest", digest);
            var names = node.putArray("parts");
            parts.forEach(names::add);
            try {
                return ChangeCodec.JSON.writeValueAsBytes(node);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        static Pointer fromDocument(byte[] document) {
            try {
                JsonNode node = ChangeCodec.JSON.readTree(document);
                List<String> parts = new ArrayList<>();
                node.path("parts").forEach(part -> parts.add(part.asText()));
                if (!node.path("revision").isIntegralNumber()
                        || !node.path("digest").isTextual()
                        || parts.isEmpty()) {
                    throw damaged("it needs revision, digest and parts", null);
                }
                return new Pointer(
                        node.path("revision").longValue(),
                        parts,
                        node.path("digest").textValue());
            } catch (IOException e) {
                throw damaged(e.getMessage(), e);
            }
        }

        private static CassiabankException damaged(String problem, Exception cause) {
            return CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT,
                    "malformed value at key " + ChangeReader.SNAPSHOT_KEY + ": " + problem,
                    cause);
        }
    }

    /** Returns the revision of the newest snapshot, 0 if there is none. */
    long newestRevision() {
        return store.read(ChangeReader.SNAPSHOT_KEY)
                .map(value -> Pointer.fromDocument(value.value()).revision())
                .orElse(0L);
    }

    /** Installs the newest snapshot if it is newer than the history. */
    boolean load(ConfigurationHistory history) {
        Optional<StoredValue> stored = store.read(ChangeReader.SNAPSHOT_KEY);
        if (stored.isEmpty()) {
            return false;
        }
        Pointer pointer = Pointer.fromDocument(stored.get().value());
        if (pointer.revision() <= history.configuration().revision()) {
            return false;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String part : pointer.parts()) {
            byte[] value = store.read(part)
                    .orElseThrow(() -> CassiabankException.of(
                            ErrorCode.INVALID_INPUT, "snapshot " + pointer.revision() + " lacks part " + part))
                    .value();
            bytes.writeBytes(value);
        }
        if (!digest(bytes.toByteArray()).equals(pointer.digest())) {
            throw CassiabankException.of(
                    ErrorCode.INVALID_INPUT, "the parts of snapshot " + pointer.revision() + " do not fit its digest");
        }
        return history.installSnapshot(bytes.toByteArray());
    }

    /**
     * Writes a snapshot unless there is a newer one. The key that names it is written last, so that it never names an
     * incomplete snapshot.
     *
     * @return true if the snapshot is in place now
     */
    boolean write(Configuration configuration) {
        byte[] snapshot = Snapshots.write(configuration);
        List<String> parts = new ArrayList<>();
        for (int start = 0; start < snapshot.length; start += LONGEST_PART) {
            String key = ChangeReader.SNAPSHOT_KEY + "/" + configuration.revision() + "/" + parts.size();
            byte[] part = Arrays.copyOfRange(snapshot, start, Math.min(snapshot.length, start + LONGEST_PART));
            // Another committer may have written the same part; one of another library version may compress otherwise.
            if (!store.create(key, part)
                    && !store.read(key)
                            .map(value -> Arrays.equals(value.value(), part))
                            .orElse(false)) {
                return false;
            }
            parts.add(key);
        }
        byte[] pointer = new Pointer(configuration.revision(), parts, digest(snapshot)).toDocument();
        Optional<StoredValue> present = store.read(ChangeReader.SNAPSHOT_KEY);
        if (present.isEmpty()) {
            return store.create(ChangeReader.SNAPSHOT_KEY, pointer);
        }
        return Pointer.fromDocument(present.get().value()).revision() < configuration.revision()
                && store.compareAndSet(ChangeReader.SNAPSHOT_KEY, present.get().index(), pointer);
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
