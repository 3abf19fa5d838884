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
 * Reads the status pages of proxies.
 */
final class ProxyStatusClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    // Bounds the open files of the tool when an operator asks all proxies of a large fleet.
    private static final int SIMULTANEOUS_CALLS = 128;
    private static final JsonMapper JSON = JsonMapper.builder().build();

    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(TIMEOUT)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
    private final Semaphore calls = new Semaphore(SIMULTANEOUS_CALLS);

    private ProxyStatusClient() {}

    static ProxyStatusClient create() {
        return new ProxyStatusClient();
    }

    /**
     * Asks all proxies at the same time.
     *
     * @param addresses the hosts and admin ports
     * @return the answers in the order of the addresses
     * @throws IllegalArgumentException if an address is not HOST:PORT
     */
    Map<String, ProxyStatus> readAll(List<String> addresses) {
        Map<String, Future<ProxyStatus>> running = new LinkedHashMap<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (String address : addresses) {
                HttpUrl page = HttpUrl.get("http://" + address + "/status");
                running.computeIfAbsent(address, ignored -> threads.submit(() -> read(page)));
            }
            Map<String, ProxyStatus> statuses = new LinkedHashMap<>();
            for (Map.Entry<String, Future<ProxyStatus>> entry : running.entrySet()) {
                statuses.put(entry.getKey(), entry.getValue().get());
            }
            return statuses;
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException("reading the status of the proxies was interrupted", e);
        }
    }

    private ProxyStatus read(HttpUrl page) throws InterruptedException {
        calls.acquire();
        try (Response response =
                client.newCall(new Request.Builder().url(page).build()).execute()) {
            if (!response.isSuccessful()) {
                return new ProxyStatus.Unknown("status page answered with " + response.code());
            }
            JsonNode status = JSON.readTree(response.body().bytes());
            if (!status.path("revision").isIntegralNumber()) {
                return new ProxyStatus.Unknown("status page has no revision");
            }
            return new ProxyStatus.Reported(
                    status.path("name").asText(), status.path("revision").longValue());
        } catch (IOException e) {
            return new ProxyStatus.Unknown(e.getMessage());
        } finally {
            calls.release();
        }
    }
}
