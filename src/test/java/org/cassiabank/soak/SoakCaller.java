package org.cassiabank.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A caller that sends a random number of requests on each connection, pipelines some of them and abandons some before
 * their responses.
 */
final class SoakCaller implements Runnable {
    static final int REQUEST_TIMEOUT_MILLIS = 1_500;
    /** The path of a request that ends the servers that run it. */
    static final String FATAL_PATH = "/read/fatal";

    private static final int FATAL_REPEAT_MILLIS = 150;
    private static final int READ_TIMEOUT_MILLIS = REQUEST_TIMEOUT_MILLIS + 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int PAUSE_LIMIT_MILLIS = 150;
    private static final int MAXIMUM_REQUESTS_PER_CONNECTION = 12;
    private static final double ABANDONED_SHARE = 0.05;
    private static final double PIPELINED_SHARE = 0.1;
    /** The share of orders among the requests that are not pipelined. */
    private static final double ORDER_SHARE = 0.4;
    /** The share of requests for a route of a recent configuration version among the remaining ones. */
    private static final double VERSIONED_SHARE = 0.2;

    private final SoakFleet fleet;
    private final RequestHistory history;
    private final Random random;

    SoakCaller(SoakFleet fleet, RequestHistory history, long seed) {
        this.fleet = fleet;
        this.history = history;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        while (!fleet.isStopping()) {
            int daemonNumber = fleet.chooseDaemon(random);
            try (Socket socket = new Socket()) {
                socket.connect(fleet.frontAddress(daemonNumber), CONNECT_TIMEOUT_MILLIS);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                sendRequests(socket, daemonNumber);
            } catch (IOException ignored) {
                // The daemon or its link is down; the next connection goes to a daemon that is chosen anew.
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Sends the request that ends servers again and again for a time, to daemons that are chosen anew. */
    void repeatFatalRequest(long durationMillis) throws InterruptedException {
        long endMillis = RequestHistory.nowMillis() + durationMillis;
        while (RequestHistory.nowMillis() < endMillis && !fleet.isStopping()) {
            int daemonNumber = fleet.chooseDaemon(random);
            try (Socket socket = new Socket()) {
                socket.connect(fleet.frontAddress(daemonNumber), CONNECT_TIMEOUT_MILLIS);
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                String id = sendRequest(socket, daemonNumber, "GET", FATAL_PATH);
                receiveResponse(new BufferedInputStream(socket.getInputStream()), id);
            } catch (IOException ignored) {
                // The daemon or its link is down; the next connection goes to a daemon that is chosen anew.
            }
            TimeUnit.MILLISECONDS.sleep(FATAL_REPEAT_MILLIS);
        }
    }

    private void sendRequests(Socket socket, int daemonNumber) throws IOException, InterruptedException {
        InputStream input = new BufferedInputStream(socket.getInputStream());
        int requestCount = 1 + random.nextInt(MAXIMUM_REQUESTS_PER_CONNECTION);
        for (int count = 0; count < requestCount && !fleet.isStopping(); count++) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_LIMIT_MILLIS));
            List<String> ids = new ArrayList<>();
            if (random.nextDouble() < PIPELINED_SHARE) {
                ids.add(sendRequest(socket, daemonNumber, "GET", "/read/a"));
                ids.add(sendRequest(socket, daemonNumber, "GET", "/read/b"));
            } else if (random.nextDouble() < ORDER_SHARE) {
                ids.add(sendRequest(socket, daemonNumber, "POST", "/order/" + count));
            } else if (random.nextDouble() < VERSIONED_SHARE) {
                ids.add(sendRequest(socket, daemonNumber, "GET", "/v" + fleet.chooseVersion(random) + "/x"));
            } else {
                ids.add(sendRequest(socket, daemonNumber, "GET", "/read/" + count));
            }
            if (random.nextDouble() < ABANDONED_SHARE) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_LIMIT_MILLIS));
                ids.forEach(history::recordAbandoned);
                return;
            }
            for (String id : ids) {
                if (!receiveResponse(input, id)) {
                    return;
                }
            }
        }
    }

    private String sendRequest(Socket socket, int daemonNumber, String method, String path) throws IOException {
        String id = HexFormat.of().toHexDigits(random.nextLong());
        String body = method.equals("POST") ? "order " + id : "";
        int startNumber = fleet.startCount(daemonNumber);
        String headers = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: " + REQUEST_TIMEOUT_MILLIS + "\r\n";
        String message = headers + "\r\n";
        if (!body.isEmpty()) {
            message = random.nextBoolean()
                    ? headers + "Content-Length: " + body.length() + "\r\n\r\n" + body
                    : headers + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n"
                            + body + "\r\n0\r\n\r\n";
        }
        // Recorded before it is sent, because a server may receive the request before this thread continues.
        history.recordSent(new RequestHistory.SentRequest(
                id, method, path, body, daemonNumber, startNumber, RequestHistory.nowMillis()));
        OutputStream output = socket.getOutputStream();
        output.write(message.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        return id;
    }

    private boolean receiveResponse(InputStream input, String id) throws IOException {
        Optional<WireMessage> response;
        try {
            response = WireMessage.read(input, true);
        } catch (SocketTimeoutException exception) {
            history.recordAbandoned(id);
            return false;
        } catch (IOException exception) {
            history.recordCompleted(id, 0, true);
            return false;
        }
        if (response.isEmpty()) {
            history.recordCompleted(id, 0, true);
            return false;
        }
        int status = response.get().status();
        if (!response.get().isComplete()) {
            history.recordCompleted(id, 0, true);
            return false;
        }
        String body = new String(response.get().body(), StandardCharsets.ISO_8859_1);
        boolean isValid = status / 100 != 2
                || response.get().header("request-id").equals(id)
                        && response.get().header("response-seal").equals(SoakServer.seal(id, body));
        history.recordCompleted(id, status, isValid);
        return !response.get().header("connection").equalsIgnoreCase("close");
    }
}
