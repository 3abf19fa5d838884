package org.cassiabank.health;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Objects;

/**
 * Identifies the requests of one caller with the same target and body, whatever proxy receives them. Equal paths of two
 * hosts are different requests where the host selects the service; where it does not, it is not a part of the digest,
 * because a caller may address each proxy by its own name.
 *
 * <p>The identity of the caller is a part of it, so that no caller can produce the digest of another one's request.
 * Where callers state none and their addresses change, equal requests of all callers have one digest.
 *
 * @param hex the first 128 bits of a SHA-256 digest as 32 hexadecimal digits; empty for a request without a digest
 */
public record RequestDigest(String hex) {
    private static final int DIGEST_BYTES = 16;
    private static final int SHORT_TEXT_LENGTH = 8;
    private static final RequestDigest NONE = new RequestDigest("");

    /**
     * Checks the length.
     *
     * @throws NullPointerException if the text is null
     * @throws IllegalArgumentException if the text has neither 0 nor 32 characters
     */
    public RequestDigest {
        Objects.requireNonNull(hex, "hex");
        if (!hex.isEmpty() && hex.length() != 2 * DIGEST_BYTES) {
            throw new IllegalArgumentException("a request digest has 32 hexadecimal digits, but is " + hex);
        }
    }

    /**
     * Returns the value for a request whose digest is not known.
     *
     * @return the digest without digits
     */
    public static RequestDigest none() {
        return NONE;
    }

    /**
     * Computes the digest of a request.
     *
     * @param caller the identity of the caller
     * @param host the host by which the request is routed, empty if its selector is for all hosts
     * @param method the HTTP method
     * @param target the path with the query
     * @param body the body, empty if there is none
     * @return the digest
     */
    public static RequestDigest of(String caller, String host, String method, String target, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : new String[] {caller, host, method, target}) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                // The length keeps parts apart: a caller chooses them and could otherwise shift text between them.
                digest.update(
                        ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
                digest.update(bytes);
            }
            digest.update(body);
            return new RequestDigest(HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), DIGEST_BYTES)));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is missing, but every Java platform must have it", exception);
        }
    }

    /**
     * Tells whether the digest is known.
     *
     * @return false for {@link #none()}
     */
    public boolean isKnown() {
        return !hex.isEmpty();
    }

    /**
     * Returns the digest in the form of log lines.
     *
     * @return the first 8 digits, a hyphen if there are none
     */
    public String shortText() {
        return hex.isEmpty() ? "-" : hex.substring(0, SHORT_TEXT_LENGTH);
    }
}
