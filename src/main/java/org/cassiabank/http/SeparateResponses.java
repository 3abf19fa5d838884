package org.cassiabank.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashSet;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.ConnectionPool;
import okhttp3.EventListener;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Makes HTTP clients that never read two responses of a connection as one, and never the rest of one as the beginning
 * of another, in a protocol whose responses do not name their request.
 *
 * <p>A connection on which bytes follow a response is closed, and one on which bytes have arrived before a request is
 * replaced before anything is sent. A response is refused if its head may consist of two, if its end is ambiguous or
 * neither declared nor announced, if its body is encoded, or if it exceeds the permitted number of bytes.
 */
public final class SeparateResponses {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final String IDENTITY = "identity";

    private SeparateResponses() {}

    /**
     * Prepares a client. It repeats no request that may have been sent and follows no redirects. A refused response is
     * reported as an {@link IOException}, a response that is too large as a {@link ResponseTooLargeException}. Over TLS
     * only heads are checked, as OkHttp has read them, and sizes are not limited, because the connection carries
     * records instead of responses; there a body has to declare its end.
     *
     * @param connectionPool the idle connections, for this client only
     * @param maximumResponseBytes the most bytes of one response, its head and framing included; positive
     * @param singleFields the names of further headers that a response holds at most once
     * @return the builder, for timeouts only
     * @throws IllegalArgumentException if the maximum is not positive
     */
    public static OkHttpClient.Builder newClientBuilder(
            ConnectionPool connectionPool, long maximumResponseBytes, Collection<String> singleFields) {
        Objects.requireNonNull(connectionPool, "connectionPool");
        if (maximumResponseBytes < 1) {
            throw new IllegalArgumentException("maximumResponseBytes must be positive: " + maximumResponseBytes);
        }
        Set<String> allSingleFields = new HashSet<>(singleFields);
        allSingleFields.add(CONTENT_LENGTH);
        DecodingTurns decodingTurns = DecodingTurns.create();
        return new OkHttpClient.Builder()
                .connectionPool(connectionPool)
                .socketFactory(
                        KeepAliveSocketFactory.of(() -> ResponseSocket.create(maximumResponseBytes, decodingTurns)))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .eventListenerFactory(call -> new ResponseEnd())
                .addInterceptor(chain -> proceedOnUsableConnection(chain, connectionPool))
                .addNetworkInterceptor(chain -> exchange(chain, allSingleFields));
    }

    private static Response proceedOnUsableConnection(Interceptor.Chain chain, ConnectionPool connectionPool)
            throws IOException {
        // Named here, because OkHttp would otherwise ask for gzip and expand the body.
        Request request =
                chain.request().newBuilder().header("Accept-Encoding", IDENTITY).build();
        try {
            return chain.proceed(request);
        } catch (UnusableConnectionException exception) {
            LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "%s is sent on a new connection: %s", describe(request), exception.getMessage());
            connectionPool.evictAll();
            return chain.proceed(request);
        }
    }

    private static Response exchange(Interceptor.Chain chain, Set<String> singleFields) throws IOException {
        Optional<ResponseSocket> socket = socketOf(chain.connection());
        if (socket.isPresent()) {
            socket.get().beginResponse();
        }
        Response response = chain.proceed(chain.request());
        Optional<String> defect = findDefect(response, singleFields);
        if (defect.isPresent()) {
            throw new ProtocolException(
                    "the response to " + describe(chain.request()) + " is refused: " + defect.get());
        }
        BodyEnd bodyEnd = BodyEnd.of(response);
        if (socket.isPresent()) {
            socket.get().responses().beginBody(bodyEnd);
        } else if (bodyEnd instanceof BodyEnd.EndOfConnection) {
            throw new ProtocolException("the response to " + describe(chain.request())
                    + " is refused: it declares neither a length nor chunks");
        }
        return response;
    }

    private static Optional<String> findDefect(Response response, Set<String> singleFields) {
        Headers headers = response.headers();
        Optional<String> headDefect =
                ResponseHeads.findDefect(response.code(), response.message(), headers, singleFields, false);
        if (headDefect.isPresent()) {
            return headDefect;
        }
        if (isChunked(headers) && headers.get(CONTENT_LENGTH) != null) {
            return Optional.of("it has both a length and chunks");
        }
        String encoding = headers.get("Content-Encoding");
        return encoding == null || encoding.toLowerCase(Locale.ROOT).equals(IDENTITY)
                ? Optional.empty()
                : Optional.of("its body is encoded as " + PrintableText.abbreviate(encoding));
    }

    private static boolean isChunked(Headers headers) {
        return headers.get("Transfer-Encoding") != null;
    }

    private static Optional<ResponseSocket> socketOf(Connection connection) {
        return connection != null && connection.socket() instanceof ResponseSocket socket
                ? Optional.of(socket)
                : Optional.empty();
    }

    private static String describe(Request request) {
        return request.method() + " " + request.url().encodedPath();
    }

    /** Takes a connection out of use if anything follows a response; it is not yet idle when the response ends. */
    private static final class ResponseEnd extends EventListener {
        private volatile ResponseSocket socket;

        @Override
        public void connectionAcquired(Call call, Connection connection) {
            socket = socketOf(connection).orElse(null);
        }

        @Override
        public void responseBodyEnd(Call call, long byteCount) {
            ResponseSocket currentSocket = socket;
            if (currentSocket == null) {
                return;
            }
            boolean usable = false;
            try {
                byte[] bytesBehind = currentSocket.responses().endResponse();
                usable = bytesBehind.length == 0;
                if (!usable) {
                    LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                            "%d bytes follow the response to %s, its connection is closed: [%s]",
                            bytesBehind.length,
                            describe(call.request()),
                            PrintableText.abbreviate(new String(bytesBehind, StandardCharsets.ISO_8859_1)));
                }
            } catch (IOException exception) {
                LOGGER.atFine().withCause(exception).log("a connection could not be read behind its response");
            }
            if (!usable) {
                closeQuietly(currentSocket);
            }
        }

        private static void closeQuietly(ResponseSocket socket) {
            try {
                socket.close();
            } catch (IOException exception) {
                LOGGER.atFine().withCause(exception).log("a connection could not be closed");
            }
        }
    }
}
