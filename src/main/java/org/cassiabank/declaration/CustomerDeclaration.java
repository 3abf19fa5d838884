package org.cassiabank.declaration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Declares a customer, the keys that identify its callers, and its limit over all daemons together. Keys are kept as
 * digests only, so that no log line, snapshot or message can show them.
 *
 * @param name the name of the customer
 * @param keyDigests the SHA-256 digests of its keys in lower-case hexadecimal digits; empty if it has none at present
 * @param urgencyRank the rank that goes before that of the selector, 0 is the most urgent; empty if only selectors rank
 *     its requests
 * @param requestsPerSecond the requests a second that it may send on average, 0 for no limit
 * @param burst the requests that it may send at once beyond that, 0 for none
 */
public record CustomerDeclaration(
        String name, Set<String> keyDigests, OptionalInt urgencyRank, double requestsPerSecond, long burst)
        implements Declaration {

    /**
     * Copies the digests and checks the values.
     *
     * @throws NullPointerException if a component is null
     * @throws IllegalArgumentException if the name or a digest is malformed or a number is out of range
     */
    public CustomerDeclaration {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(urgencyRank, "urgencyRank");
        keyDigests = Set.copyOf(keyDigests);
        DeclarationRules.throwIfPresent(DeclarationRules.nameProblem(name));
        keyDigests.forEach(digest -> DeclarationRules.throwIfPresent(DeclarationRules.keyDigestProblem(digest)));
        urgencyRank.ifPresent(rank -> DeclarationRules.throwIfPresent(DeclarationRules.URGENCY.problem(rank)));
        DeclarationRules.throwIfPresent(DeclarationRules.requestsPerSecondProblem(requestsPerSecond));
        DeclarationRules.throwIfPresent(DeclarationRules.BURST.problem(burst));
    }

    /**
     * Creates a customer from its keys.
     *
     * @param name the name of the customer
     * @param keys the keys, not kept
     * @param urgencyRank the rank that goes before that of the selector, empty if none
     * @param requestsPerSecond the requests a second that it may send on average, 0 for no limit
     * @param burst the requests that it may send at once beyond that, 0 for none
     * @return the customer
     * @throws IllegalArgumentException if a value is malformed or out of range
     */
    public static CustomerDeclaration ofKeys(
            String name, Collection<String> keys, OptionalInt urgencyRank, double requestsPerSecond, long burst) {
        Set<String> digests = keys.stream().map(CustomerDeclaration::keyDigest).collect(Collectors.toUnmodifiableSet());
        return new CustomerDeclaration(name, digests, urgencyRank, requestsPerSecond, burst);
    }

    /**
     * Returns the digest by which a key is known.
     *
     * @param key the key
     * @return the SHA-256 digest of its UTF-8 bytes in lower-case hexadecimal digits
     */
    public static String keyDigest(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is missing, but every Java platform must have it", exception);
        }
    }

    /**
     * Tells whether the customer's requests are limited.
     *
     * @return false if there is no limit
     */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }

    @Override
    public EntityKey key() {
        return new EntityKey(EntityKind.CUSTOMER, name);
    }
}
