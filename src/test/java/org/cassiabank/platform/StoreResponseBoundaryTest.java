package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.cassiabank.backend.ScriptedServer;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.source.MetadataStore;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreLease;
import org.cassiabank.source.StoreRevision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against taking a response of the store, or a part of one, for the response to another call: its responses do
 * not name the call. Such a mistake empties the list of servers, passes over changes or renews a lease that has ended.
 */
class StoreResponseBoundaryTest {
    private static final StoreRevision REVISION = new StoreRevision(1, 500);
    /** Ends the script of a server whose client never closes the connection. */
    private static final long SERVER_GIVES_UP_BYTES = 64_000_000;

    private static final StoreLease LEASE = new StoreLease(7, 1);
    private static final String EMPTY_LIST = "{\"items\":[],\"more_pages\":false,\"store_revision\":530}";
    private static final String LIST =
            "{\"items\":[" + item("servers/a", 412) + "],\"more_pages\":false,\"store_revision\":530}";
    private static final String NO_EVENTS = "{\"events\":[],\"store_revision\":530}";
    private static final String RENEWED = "{\"ttl_time\":\"8000ms\"}";

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theBeginningOfASecondCopyIsNotReadAsTheBeginningOfTheNextResponse(boolean copyIsWrittenAtOnce)
            throws Exception {
        String copy = response(200, RENEWED);
        List<Integer> misread = new ArrayList<>();
        for (int length = 1; length <= copy.length(); length++) {
            String part = copy.substring(0, length);
            AtomicInteger calls = new AtomicInteger();
            try (ScriptedServer server = new ScriptedServer((request, socket) -> {
                if (calls.incrementAndGet() == 1) {
                    ScriptedServer.write(socket, copyIsWrittenAtOnce ? copy + part : copy);
                    if (!copyIsWrittenAtOnce) {
                        TimeUnit.MILLISECONDS.sleep(5);
                        ScriptedServer.write(socket, part);
                    }
                } else {
                    ScriptedServer.write(socket, response(404, ""));
                }
            })) {
                MetadataStore store = storeAt(server);
                assertThat(store.renewLease(LEASE)).isTrue();
                TimeUnit.MILLISECONDS.sleep(copyIsWrittenAtOnce ? 0 : 15);
                try {
                    // The lease has ended: the store says so on the connection that the client chooses.
                    if (store.renewLease(LEASE)) {
                        misread.add(length);
                    }
                } catch (CassiabankException exception) {
                    // The late part may arrive only after the call has been sent.
                    assertThat(copyIsWrittenAtOnce)
                            .as("copy of %s bytes", length)
                            .isFalse();
                    assertStoreUnavailable(exception);
                }
                store.closeConnections();
            }
        }
        assertThat(misread).as("lengths of the copy").isEmpty();
    }

    @Test
    void aResponseThatBreaksOffAndIsFollowedByAnotherOneIsRefused() throws IOException {
        String first = response(200, RENEWED);
        String second = response(404, "{}");
        List<Integer> accepted = new ArrayList<>();
        AtomicInteger position = new AtomicInteger();
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            ScriptedServer.write(socket, first.substring(0, position.get()) + second);
            socket.shutdownOutput();
        })) {
            MetadataStore store = storeAt(server);
            for (position.set(1); position.get() < first.length(); position.incrementAndGet()) {
                try {
                    // Nothing of the first but its beginning has arrived, so the lease was not renewed.
                    if (store.renewLease(LEASE)) {
                        accepted.add(position.get());
                    }
                } catch (CassiabankException exception) {
                    assertStoreUnavailable(exception);
                }
            }
            store.closeConnections();
        }
        assertThat(accepted).as("positions of the second response").isEmpty();
    }

    @Test
    void aDocumentFollowedByFurtherBytesIsRefused() throws IOException {
        assertRefused(response(200, LIST + EMPTY_LIST), StoreResponseBoundaryTest::list);
        assertRefused(response(200, NO_EVENTS + "}"), StoreResponseBoundaryTest::watch);
    }

    @Test
    void aDocumentThatNamesAFieldTwiceIsRefused() throws IOException {
        assertRefused(
                response(200, "{\"items\":[],\"items\":[],\"more_pages\":false,\"store_revision\":530}"),
                StoreResponseBoundaryTest::list);
    }

    @Test
    void theResponseToAnotherCallIsRefused() throws IOException {
        String granted = "{\"lease\":77120,\"ttl_time\":\"8000ms\"}";
        String transacted = "{\"rev\":531}";
        for (String other : List.of(NO_EVENTS, RENEWED, granted, transacted)) {
            assertRefused(response(200, other), StoreResponseBoundaryTest::list);
        }
        for (String other : List.of(LIST, RENEWED, granted, transacted)) {
            assertRefused(response(200, other), StoreResponseBoundaryTest::watch);
        }
        for (String other : List.of(LIST, NO_EVENTS, RENEWED, transacted)) {
            assertRefused(response(200, other), store -> store.grantLease(8_000));
        }
        for (String other : List.of(LIST, NO_EVENTS, granted, transacted)) {
            assertRefused(response(200, other), store -> store.renewLease(LEASE));
        }
        for (String other : List.of(LIST, NO_EVENTS, RENEWED, granted)) {
            assertRefused(response(200, other), store -> store.put("k", new byte[] {1}, LEASE));
            assertRefused(response(200, other), store -> store.remove("k"));
        }
    }

    @Test
    void aListWithoutAnIndicationOfFurtherPagesOrWithoutARevisionIsRefused() throws IOException {
        assertRefused(response(200, "{\"items\":[],\"store_revision\":530}"), StoreResponseBoundaryTest::list);
        assertRefused(response(200, "{\"items\":[],\"more_pages\":false}"), StoreResponseBoundaryTest::list);
        assertRefused(
                response(200, "{\"items\":[],\"more_pages\":false,\"store_revision\":0}"),
                StoreResponseBoundaryTest::list);
        assertRefused(
                response(200, "{\"items\":[],\"more_pages\":false,\"store_revision\":1.5}"),
                StoreResponseBoundaryTest::list);
    }

    @Test
    void anEntryWithoutAKeyOrARevisionOrWithAnotherPrefixIsRefused() throws IOException {
        for (String item : List.of(
                "{\"value\":\"eA==\",\"rev\":412}",
                "{\"key\":\"servers/a\",\"value\":\"eA==\"}",
                "{\"key\":\"servers/a\",\"rev\":412}",
                item("op/config", 412),
                item("servers/a", 412) + "," + item("servers/a", 413))) {
            assertRefused(
                    response(200, "{\"items\":[" + item + "],\"more_pages\":false,\"store_revision\":530}"),
                    store -> store.list("servers/", ""));
        }
        for (String event : List.of("{\"rev\":510,\"deleted\":true}", "{\"key\":\"op/config\",\"rev\":510}")) {
            assertRefused(
                    response(200, "{\"events\":[" + event + "],\"store_revision\":530}"),
                    store -> store.watch("servers/", REVISION, 1, 1_500));
        }
    }

    @Test
    void aPageThatHoldsTheKeyAfterWhichItBeginsIsRefused() throws IOException {
        assertRefused(response(200, LIST), store -> store.list("servers/", "servers/a"));
    }

    @Test
    void aListThatIsOlderThanAnEarlierResponseIsRefusedOnceAndReadAgainOnANewConnection() throws IOException {
        AtomicInteger calls = new AtomicInteger();
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            boolean first = calls.incrementAndGet() == 1;
            ScriptedServer.write(socket, response(200, first ? LIST : LIST.replace("530", "529")));
        })) {
            MetadataStore store = storeAt(server);
            list(store);
            assertThatThrownBy(() -> list(store)).satisfies(StoreResponseBoundaryTest::assertStoreUnavailable);
            assertThat(store.list("", "").revision()).isEqualTo(new StoreRevision(1, 529));
            assertThat(server.acceptedConnections).hasValue(2);
            store.closeConnections();
        }
    }

    @Test
    void aWatchThatAnswersForAnEarlierRevisionRequiresACompleteRead() throws IOException {
        try (ScriptedServer server =
                new ScriptedServer((request, socket) -> ScriptedServer.write(socket, response(200, NO_EVENTS)))) {
            MetadataStore store = storeAt(server);
            assertThat(store.watch("", new StoreRevision(1, 531), 1, 1_500)).isEmpty();
            assertThat(store.watch("", new StoreRevision(1, 530), 1, 1_500)).isPresent();
            store.closeConnections();
        }
    }

    @Test
    void anEncodedBodyIsNeitherRequestedNorAccepted() throws IOException {
        List<String> encodings = new ArrayList<>();
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            encodings.add(request.header("Accept-Encoding"));
            ScriptedServer.write(
                    socket, response(200, NO_EVENTS).replace("Store-Era", "Content-Encoding: deflate\r\nStore-Era"));
        })) {
            MetadataStore store = storeAt(server);
            assertThatThrownBy(() -> watch(store)).satisfies(StoreResponseBoundaryTest::assertStoreUnavailable);
            store.closeConnections();
        }
        assertThat(encodings).containsExactly("identity");
    }

    @Test
    void aLargePageIsRead() throws IOException {
        // The platform's bounds: a page of 1 MB, one more value of 1 MB, in base64.
        String value = "A".repeat(4 * (2 << 20) / 3 / 4 * 4);
        String page = "{\"items\":[{\"key\":\"k\",\"value\":\"" + value
                + "\",\"rev\":412}],\"more_pages\":true,\"store_revision\":530}";
        try (ScriptedServer server =
                new ScriptedServer((request, socket) -> ScriptedServer.write(socket, response(200, page)))) {
            MetadataStore store = storeAt(server);
            assertThat(store.list("", "").entries()).extracting(StoreEntry::key).containsExactly("k");
            store.closeConnections();
        }
    }

    @Test
    void aResponseWithoutEndIsCutOff() throws IOException {
        String spaces = " ".repeat(1 << 16);
        String head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n";
        String tooLarge = "the response exceeds";
        assertCutOff(head + "Content-Length: 900000000\r\n\r\n{\"items\":[", spaces, tooLarge);
        assertCutOff(head + "Connection: close\r\n\r\n{\"items\":[", spaces, tooLarge);
        assertCutOff(head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + spaces + "\r\n", tooLarge);
        assertCutOff(head + "Transfer-Encoding: chunked\r\n\r\n1;", "x".repeat(1 << 16), tooLarge);
        assertCutOff(head + "X-Long: ", "x".repeat(1 << 16), "kv-range");
        assertCutOff("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000), "kv-range");
    }

    @Test
    void aWatchWhoseChangesAreTooManyRequiresACompleteRead() throws IOException {
        String event = "{\"key\":\"k\",\"rev\":510,\"deleted\":true},".repeat(1_000);
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n{\"events\":[");
            for (int written = 0; written < 900_000_000; written += event.length()) {
                ScriptedServer.write(socket, event);
            }
        })) {
            MetadataStore store = storeAt(server);
            assertThat(store.watch("", REVISION, 1, 1_500)).isEmpty();
            store.closeConnections();
        }
    }

    /** Checks that the client closes the connection long before the timeout of the call could. */
    private static void assertCutOff(String beginning, String repeated, String message) throws IOException {
        AtomicLong writtenBytes = new AtomicLong();
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            ScriptedServer.write(socket, beginning);
            while (writtenBytes.get() < SERVER_GIVES_UP_BYTES) {
                ScriptedServer.write(socket, repeated);
                writtenBytes.addAndGet(repeated.length());
            }
        })) {
            MetadataStore store = storeAt(server);
            assertThatThrownBy(() -> list(store))
                    .satisfies(StoreResponseBoundaryTest::assertStoreUnavailable)
                    .hasMessageContaining(message);
            store.closeConnections();
        }
        assertThat(writtenBytes).hasValueLessThan(SERVER_GIVES_UP_BYTES);
    }

    private static void assertRefused(String response, Consumer<MetadataStore> call) throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, socket) -> ScriptedServer.write(socket, response))) {
            MetadataStore store = storeAt(server);
            ThrowingCallable refused = () -> call.accept(store);
            assertThatThrownBy(refused).as(response).satisfies(StoreResponseBoundaryTest::assertStoreUnavailable);
            store.closeConnections();
        }
    }

    private static void list(MetadataStore store) {
        store.list("", "");
    }

    private static void watch(MetadataStore store) {
        store.watch("", REVISION, 1, 1_500);
    }

    private static MetadataStore storeAt(ScriptedServer server) {
        return new KeyValueAdapter().openStore(URI.create("http://" + server.address()));
    }

    private static String item(String key, int revision) {
        return "{\"key\":\"" + key + "\",\"value\":\"eA==\",\"rev\":" + revision + "}";
    }

    private static String response(int status, String body) {
        return "HTTP/1.1 " + status + " Reason of " + status + "\r\nStore-Era: 1\r\n"
                + "Content-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    private static void assertStoreUnavailable(Throwable thrown) {
        assertThat(thrown).isInstanceOfSatisfying(CassiabankException.class, exception -> assertThat(exception.code())
                .isEqualTo(ErrorCode.STORE_UNAVAILABLE));
    }
}
