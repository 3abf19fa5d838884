package org.cassiabank.http;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import okhttp3.Headers;

/**
 * Decides which heads of responses are whole and can be passed on unchanged.
 *
 * <p>OkHttp accepts more than HTTP/1.1 permits: control bytes in values, names that are not tokens, lines without a
 * colon, folded lines and any three characters that form a number as the status. Such a head stands for a server that
 * spoils its responses. It also reads two heads as one if the first breaks off inside a line: the status is that of the
 * first, and the status line of the second becomes the rest of the line.
 *
 * <p>The lines of a head are judged before, by {@link HeadFraming}. This class judges what OkHttp has made of them, and
 * is the only one that judges a head over TLS.
 */
public final class ResponseHeads {
    /** The beginning of a status line, up to the status. */
    public static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?=[ \\r\\n]|\\z)");

    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;
    /** Stands where OkHttp could not decode a value as UTF-8, so that the original bytes are lost. */
    private static final char REPLACEMENT_CHARACTER = '\ufffd';

    /** A length of this many digits always fits a long. */
    private static final int MAXIMUM_LENGTH_DIGITS = 18;

    private ResponseHeads() {}

    /**
     * Tells whether a number is the status of a final response.
     *
     * @param status the number
     * @return true from 200 to 599
     */
    public static boolean isFinalStatus(int status) {
        return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
    }

    /**
     * Looks for a part of a head that cannot be passed on.
     *
     * @param status the status, which is valid if it is final: neither interim nor beyond 599
     * @param reasonPhrase the text behind the status, empty if there is none
     * @param headers the headers as OkHttp has read them
     * @param singleFields the names of headers that a response holds at most once; two of them come from two responses
     * @param hasBody whether the response has a body, whose end the declared length decides
     * @return what is wrong, or empty if the head can be passed on
     */
    public static Optional<String> findDefect(
            int status, String reasonPhrase, Headers headers, Collection<String> singleFields, boolean hasBody) {
        if (!isFinalStatus(status)) {
            return Optional.of("status " + status + " is not a final status");
        }
        if (containsStatusLine(reasonPhrase)) {
            return Optional.of("status " + status + " is followed by the status line ["
                    + PrintableText.abbreviate(reasonPhrase) + "]");
        }
        Set<String> foundFields = new HashSet<>();
        for (int index = 0; index < headers.size(); index++) {
            String name = headers.name(index);
            if (!isToken(name)) {
                return Optional.of("header name [" + PrintableText.abbreviate(name) + "] is not a token");
            }
            if (!isFieldValue(headers.value(index))) {
                return Optional.of("value of header " + name + " has a byte that is not permitted: ["
                        + PrintableText.abbreviate(headers.value(index)) + "]");
            }
            if (containsStatusLine(headers.value(index))) {
                return Optional.of("value of header " + name + " ends in the status line of another response: ["
                        + PrintableText.abbreviate(headers.value(index)) + "]");
            }
            if (isSingleField(name, singleFields) && !foundFields.add(name.toLowerCase(Locale.ROOT))) {
                return Optional.of("header " + name + " stands twice");
            }
        }
        List<String> transferEncodings = headers.values("Transfer-Encoding");
        if (!transferEncodings.isEmpty()
                && (transferEncodings.size() > 1
                        || !transferEncodings.getFirst().equalsIgnoreCase("chunked"))) {
            return Optional.of("transfer encoding " + transferEncodings + " is not supported");
        }
        List<String> lengths = headers.values("Content-Length");
        boolean validLength = lengths.size() <= 1 && lengths.stream().allMatch(ResponseHeads::isLength);
        return hasBody || validLength ? Optional.empty() : Optional.of("content lengths " + lengths);
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }

    private static boolean isSingleField(String name, Collection<String> singleFields) {
        return singleFields.stream().anyMatch(name::equalsIgnoreCase);
    }

    /** Tells whether a text is a name that a field may have. */
    static boolean isToken(String name) {
        return !name.isEmpty()
                && name.chars()
                        .allMatch(
                                character -> isAsciiLetterOrDigit(character) || TOKEN_SYMBOLS.indexOf(character) >= 0);
    }

    private static boolean isAsciiLetterOrDigit(int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9';
    }

    private static boolean isFieldValue(String value) {
        return value.chars()
                .allMatch(character -> (character >= ' ' || character == '\t')
                        && character != DELETE
                        && character != REPLACEMENT_CHARACTER);
    }

    private static boolean isLength(String value) {
        return !value.isEmpty()
                && value.length() <= MAXIMUM_LENGTH_DIGITS
                && value.chars().allMatch(character -> character >= '0' && character <= '9');
    }
}
