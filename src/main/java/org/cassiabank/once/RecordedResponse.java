package org.cassiabank.once;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A response of a backend server that is recorded for repeats of its request.
 *
 * @param status the HTTP status code
 * @param headers the end-to-end headers
 * @param body the complete body; not copied
 */
public record RecordedResponse(int status, Map<String, List<String>> headers, byte[] body) {

    /**
     * Creates a response with a copy of the headers.
     *
     * @throws NullPointerException if the headers or the body are null
     */
    public RecordedResponse {
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns the size by which the response counts against the limits of {@link ClaimSettings}.
     *
     * @return the bytes of the body plus the characters of the headers
     */
    public long size() {
        long size = body.length;
        for (Map.Entry<String, List<String>> header : headers.entrySet()) {
            size += header.getKey().length();
            for (String value : header.getValue()) {
                size += value.length();
            }
        }
        return size;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RecordedResponse that
                && status == that.status
                && headers.equals(that.headers)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, headers, Arrays.hashCode(body));
    }

    @Override
    public String toString() {
        return "RecordedResponse[" + status + ", " + body.length + " bytes]";
    }
}
