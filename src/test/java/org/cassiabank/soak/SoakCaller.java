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

/** A caller that keeps its connections for some requests, sends some back to back and leaves some unanswered. */
final class SoakCaller implements Runnable {
    static final int TIMEOUT_MILLIS = 1_500;
    private static final int PATIENCE_MILLIS = TIMEOUT_MILLIS + 1_000;
    private static final int CONNECT_MILLIS = 1_000;
    private static final int MOST_PAUSE_MILLIS = 150;
    private static final int MOST_ON_A_CONNECTION = 12;
    private static final double LEAVING_SHARE = 0.05;
    private static final double PIPELINED_SHARE = 0.1;
    private static final double ORDER_SHARE = 0.4;
    private static final double VERSION_SHARE = 0.2;

    private final SoakFleet fleet;
    private final Ledger ledger;
    private final Random random;

    SoakCaller(SoakFleet fleet, Ledger ledger, long seed) {
        this.fleet = fleet;
        this.ledger = ledger;
        this.random = new Random(seed);
    }

    @Override
    public void run() {
        while (!fleet.isClosed()) {
            int daemon = fleet.pickDaemon(random);
            try (Socket socket = new Socket()) {
                socket.connect(fleet.front(daemon), CONNECT_MILLIS);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MILLIS);
                useConnection(socket, daemon);
            } catch (IOException ignored) {
                // The daemon or its link is down; the next connection goes elsewhere.
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void useConnection(Socket socket, int daemon) throws IOException, InterruptedException {
        InputStream input = new BufferedInputStream(socket.getInputStream());
        int requests = 1 + random.nextInt(MOST_ON_A_CONNECTION);
        for (int count = 0; count < requests && !fleet.isClosed(); count++) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_PAUSE_MILLIS));
            List<String> ids = new ArrayList<>();
            if (random.nextDouble() < PIPELINED_SHARE) {
                ids.add(send(socket, daemon, "GET", "/read/a"));
                ids.add(send(socket, daemon, "GET", "/read/b"));
            } else if (random.nextDouble() < ORDER_SHARE) {
                ids.add(send(socket, daemon, "POST", "/order/" + count));
            } else if (random.nextDouble() < VERSION_SHARE) {
                ids.add(send(socket, daemon, "GET", "/v" + fleet.pickVersion(random) + "/x"));
            } else {
                ids.add(send(socket, daemon, "GET", "/read/" + count));
            }
            if (random.nextDouble() < LEAVING_SHARE) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_PAUSE_MILLIS));
                ids.forEach(ledger::left);
                return;
            }
            for (String id : ids) {
                if (!receive(input, id)) {
                    return;
                }
            }
        }
    }

    private String send(Socket socket, int daemon, String method, String path) throws IOException {
        String id = HexFormat.of().toHexDigits(random.nextLong());
        String body = method.equals("POST") ? "order " + id : "";
        int start = fleet.startCount(daemon);
        String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + TIMEOUT_MILLIS + "\r\n";
        String message = head + "\r\n";
        if (!body.isEmpty()) {
            message = random.nextBoolean()
                    ? head + "Content-Length: " + body.length() + "\r\n\r\n" + body
                    : head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                            + "\r\n0\r\n\r\n";
        }
        // Recorded first, because a server may receive the request before this thread goes on.
        ledger.sent(new Ledger.Sent(id, method, path, body, daemon, start, Ledger.now()));
        OutputStream output = socket.getOutputStream();
        output.write(message.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        return id;
    }

    private boolean receive(InputStream input, String id) throws IOException {
        Optional<WireMessage> answer;
        try {
            answer = WireMessage.read(input, true);
        } catch (SocketTimeoutException exception) {
            ledger.left(id);
            return false;
        } catch (IOException exception) {
            ledger.ended(id, 0, true);
            return false;
        }
        if (answer.isEmpty()) {
            ledger.ended(id, 0, true);
            return false;
        }
        int status = answer.get().status();
        if (!answer.get().complete()) {
            ledger.ended(id, 0, true);
            return false;
        }
        String body = new String(answer.get().body(), StandardCharsets.ISO_8859_1);
        boolean proper = status / 100 != 2
                || answer.get().header("request-id").equals(id)
                        && answer.get().header("response-seal").equals(SoakServer.seal(id, body));
        ledger.ended(id, status, proper);
        return !answer.get().header("connection").equalsIgnoreCase("close");
    }
}
