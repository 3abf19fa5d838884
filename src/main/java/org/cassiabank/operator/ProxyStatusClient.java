package org.cassiabank.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Reads the status pages on the admin addresses of proxies.
 */
final class ProxyStatusClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    /** Limits the open files of the tool when an operator reads the status of all proxies of a large fleet. */
    private static final int MAXIMUM_CONCURRENT_CALLS = 128;

    private static final JsonMapper JSON_MAPPER = JsonMapper.builder().build();

    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(CALL_TIMEOUT)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
    private final Semaphore callPermits = new Semaphore(MAXIMUM_CONCURRENT_CALLS);

    private ProxyStatusClient() {}

    static ProxyStatusClient create() {
        return new ProxyStatusClient();
    }

    /**
     * Reads the status of all proxies, up to {@value #MAXIMUM_CONCURRENT_CALLS} at the same time. Blocks the thread.
     *
     * @param addresses the admin addresses, each host and port; repeated ones are read once
     * @return the status of each address, in the order of the addresses
     * @throws IllegalArgumentException if an address is not HOST:PORT
     * @throws IllegalStateException if the thread is interrupted or a call fails unexpectedly
     */
    Map<String, ProxyStatus> readAll(List<String> addresses) {
        Map<String, Future<ProxyStatus>> pendingStatuses = new LinkedHashMap<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (String address : addresses) {
                HttpUrl statusUrl = HttpUrl.get("http://" + address + "/status");
                pendingStatuses.computeIfAbsent(address, ignored -> executor.submit(() -> read(statusUrl)));
            }
            Map<String, ProxyStatus> statuses = new LinkedHashMap<>();
            for (Map.Entry<String, Future<ProxyStatus>> entry : pendingStatuses.entrySet()) {
                statuses.put(entry.getKey(), entry.getValue().get());
            }
            return statuses;
        } catch (InterruptedException | ExecutionException exception) {
            throw new IllegalStateException("reading the status of the proxies was interrupted", exception);
        }
    }

    private ProxyStatus read(HttpUrl statusUrl) throws InterruptedException {
        callPermits.acquire();
        try (Response response =
                client.newCall(new Request.Builder().url(statusUrl).build()).execute()) {
            if (!response.isSuccessful()) {
                return new ProxyStatus.Unknown("status page responded with status " + response.code());
            }
            JsonNode status = JSON_MAPPER.readTree(response.body().bytes());
            if (!status.path("revision").isIntegralNumber()) {
                return new ProxyStatus.Unknown("status page has no revision");
            }
            return new ProxyStatus.Reported(
                    status.path("name").asText(), status.path("revision").longValue());
        } catch (IOException exception) {
            return new ProxyStatus.Unknown(exception.getMessage());
        } finally {
            callPermits.release();
        }
    }
}
