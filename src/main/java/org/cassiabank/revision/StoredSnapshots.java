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
 * Reads and writes the snapshots in the store. A snapshot is divided into parts, because a value of the store is too
 * small for a large configuration.
 */
final class StoredSnapshots {
    private static final int MAXIMUM_PART_BYTES = 512 * 1024;

    private final ChangeStore store;

    private StoredSnapshots(ChangeStore store) {
        this.store = store;
    }

    static StoredSnapshots create(ChangeStore store) {
        return new StoredSnapshots(store);
    }

    /** The value of the key of the newest snapshot: its revision, the keys of its parts and its SHA-256 digest. */
    private record SnapshotPointer(long revision, List<String> partKeys, String digest) {
        byte[] toDocument() {
            ObjectNode node = ChangeCodec.JSON.createObjectNode();
            node.put("revision", revision).put("digest", digest);
            var names = node.putArray("parts");
            partKeys.forEach(names::add);
            try {
                return ChangeCodec.JSON.writeValueAsBytes(node);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        static SnapshotPointer fromDocument(byte[] document) {
            try {
                JsonNode node = ChangeCodec.JSON.readTree(document);
                List<String> partKeys = new ArrayList<>();
                node.path("parts").forEach(part -> partKeys.add(part.asText()));
                if (!node.path("revision").isIntegralNumber()
                        || !node.path("digest").isTextual()
                        || partKeys.isEmpty()) {
                    throw malformed("it must have an integer revision, a digest and parts", null);
                }
                return new SnapshotPointer(
                        node.path("revision").longValue(),
                        partKeys,
                        node.path("digest").textValue());
            } catch (IOException e) {
                throw malformed(e.getMessage(), e);
            }
        }

        private static CassiabankException malformed(String problem, Exception cause) {
            return CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT,
                    "malformed value at key " + ChangeReader.SNAPSHOT_KEY + ": " + problem,
                    cause);
        }
    }

    /** Returns the revision of the newest snapshot, 0 if there is none. */
    long newestRevision() {
        return store.read(ChangeReader.SNAPSHOT_KEY)
                .map(value -> SnapshotPointer.fromDocument(value.value()).revision())
                .orElse(0L);
    }

    /** Installs the newest snapshot if it is newer than the history; returns true if it was installed. */
    boolean load(ConfigurationHistory history) {
        Optional<StoredValue> stored = store.read(ChangeReader.SNAPSHOT_KEY);
        if (stored.isEmpty()) {
            return false;
        }
        SnapshotPointer pointer = SnapshotPointer.fromDocument(stored.get().value());
        if (pointer.revision() <= history.configuration().revision()) {
            return false;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String partKey : pointer.partKeys()) {
            byte[] value = store.read(partKey)
                    .orElseThrow(() -> CassiabankException.of(
                            ErrorCode.INVALID_INPUT, "snapshot " + pointer.revision() + " lacks part " + partKey))
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
     * Writes a snapshot unless there is one of the same or a newer revision. The key that names it is written last, so
     * that it never names an incomplete snapshot.
     *
     * @return true if the key names the written snapshot now
     */
    boolean write(Configuration configuration) {
        byte[] snapshot = Snapshots.write(configuration);
        List<String> partKeys = new ArrayList<>();
        for (int start = 0; start < snapshot.length; start += MAXIMUM_PART_BYTES) {
            String key = ChangeReader.SNAPSHOT_KEY + "/" + configuration.revision() + "/" + partKeys.size();
            byte[] part = Arrays.copyOfRange(snapshot, start, Math.min(snapshot.length, start + MAXIMUM_PART_BYTES));
            // Another committer may have written the same part. If its library version compresses differently, the
            // bytes differ and this snapshot cannot be completed.
            if (!store.create(key, part)
                    && !store.read(key)
                            .map(value -> Arrays.equals(value.value(), part))
                            .orElse(false)) {
                return false;
            }
            partKeys.add(key);
        }
        byte[] pointer = new SnapshotPointer(configuration.revision(), partKeys, digest(snapshot)).toDocument();
        Optional<StoredValue> storedPointer = store.read(ChangeReader.SNAPSHOT_KEY);
        if (storedPointer.isEmpty()) {
            return store.create(ChangeReader.SNAPSHOT_KEY, pointer);
        }
        return SnapshotPointer.fromDocument(storedPointer.get().value()).revision() < configuration.revision()
                && store.compareAndSet(
                        ChangeReader.SNAPSHOT_KEY, storedPointer.get().index(), pointer);
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing, but every Java platform must have it", e);
        }
    }
}
