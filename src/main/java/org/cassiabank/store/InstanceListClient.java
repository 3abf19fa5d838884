package org.cassiabank.store;

import java.net.URI;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;

/**
 * Reads the platform's list of live and leaving instances.
 *
 * <p>Instances of this class are safe for use by many threads.
 */
public final class InstanceListClient {
    private final PlatformHttp http;

    private InstanceListClient(PlatformHttp http) {
        this.http = http;
    }

    /**
     * Creates a client.
     *
     * @param platform the URL of the platform's service
     * @return the client
     * @throws IllegalArgumentException if the URL is not an HTTP URL
     */
    public static InstanceListClient create(URI platform) {
        return new InstanceListClient(PlatformHttp.create(Objects.requireNonNull(platform, "platform")));
    }

    /**
     * Waits until the list is newer than an index.
     *
     * @param index the index that is already known, 0 to read at once
     * @param waitMillis the longest wait in milliseconds
     * @return the newer list, or empty if the wait ended first
     * @throws org.cassiabank.kernel.CassiabankException with
     *     {@link org.cassiabank.kernel.ErrorCode#STORE_UNAVAILABLE} if the platform does not answer, or with all
     *     findings if the list is not valid
     */
    public Optional<InstanceList> awaitChange(long index, long waitMillis) {
        HttpUrl.Builder url = http.url("/v1/instances");
        if (index > 0) {
            url.addQueryParameter("index", Long.toString(index)).addQueryParameter("wait", waitMillis + "ms");
        }
        PlatformAnswer answer = http.send(new Request.Builder().url(url.build()).build(), index > 0 ? waitMillis : 0);
        if (answer.index() <= index) {
            return Optional.empty();
        }
        return Optional.of(InstanceListCodec.parse(answer.index(), answer.body()));
    }
}
