package org.cassiabank.store;

import java.net.URI;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;

/**
 * A client that reads the platform's list of live and leaving instances.
 *
 * <p>Instances are thread-safe.
 */
public final class InstanceListClient {
    private final PlatformHttpClient httpClient;

    private InstanceListClient(PlatformHttpClient httpClient) {
        this.httpClient = httpClient;
    }

    /**
     * Creates a client without connecting to the platform.
     *
     * @param platformUrl the URL of the platform's service, for example {@code http://127.0.0.1:8500}
     * @return the client
     * @throws IllegalArgumentException if the URL is not an HTTP URL
     */
    public static InstanceListClient create(URI platformUrl) {
        return new InstanceListClient(PlatformHttpClient.create(Objects.requireNonNull(platformUrl, "platformUrl")));
    }

    /**
     * Waits until the platform has an instance list with an index above a known one.
     *
     * @param knownIndex the index of the last list that was read, 0 to read immediately
     * @param waitMillis the longest wait in milliseconds
     * @return the newer list, or empty if the wait timed out
     * @throws org.cassiabank.kernel.CassiabankException with
     *     {@link org.cassiabank.kernel.ErrorCode#STORE_UNAVAILABLE} if the platform does not respond, or with all
     *     findings if the list is not valid
     */
    public Optional<InstanceList> awaitChange(long knownIndex, long waitMillis) {
        HttpUrl.Builder urlBuilder = httpClient.urlBuilder("/v1/instances");
        if (knownIndex > 0) {
            urlBuilder
                    .addQueryParameter("index", Long.toString(knownIndex))
                    .addQueryParameter("wait", waitMillis + "ms");
        }
        PlatformResponse response =
                httpClient.send(new Request.Builder().url(urlBuilder.build()).build(), knownIndex > 0 ? waitMillis : 0);
        if (response.index() <= knownIndex) {
            return Optional.empty();
        }
        return Optional.of(InstanceListCodec.parse(response.index(), response.body()));
    }
}
