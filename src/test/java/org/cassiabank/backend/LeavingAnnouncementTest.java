package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against announcements of leaving servers that are lost with their response, or taken from another server. */
@Timeout(20)
class LeavingAnnouncementTest {
    private static final String LEAVING = "Cassiabank-Leaving: true\r\n";

    private final BackendClient client = BackendClient.create(
            new BackendClientSettings(300, 1_000_000, 2, 5_000, 150),
            DefaultHeaderConventions.instance(),
            ResponseMemory.ofHeap());
    private final List<AutoCloseable> resources = new ArrayList<>(List.of(client));

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    @Test
    void responsesOfAllKindsAnnounceIt() throws IOException {
        assertThat(executed(200, LEAVING + "Content-Length: 2\r\n\r\nok").announcesLeaving())
                .isTrue();
        assertThat(executed(500, LEAVING + "Content-Length: 2\r\n\r\nno").announcesLeaving())
                .isTrue();
        assertThat(executed(503, LEAVING + "Cassiabank-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
                        .announcesLeaving())
                .isTrue();
        assertThat(executed(200, "Content-Length: 2\r\n\r\nok").announcesLeaving())
                .isFalse();
    }

    @Test
    void aResponseThatBreaksOffBehindItsHeadAnnouncesIt() throws IOException {
        assertThat(executed(200, LEAVING + "Content-Length: 900\r\n\r\nok").announcesLeaving())
                .isTrue();
    }

    @Test
    void aResponseThatIsCancelledBehindItsHeadAnnouncesIt() throws Exception {
        BackendCall call = newCall((request, socket) -> {
            ScriptedServer.write(socket, request.responseHead(200) + LEAVING + "Content-Length: 9\r\n\r\nok");
            TimeUnit.SECONDS.sleep(10);
        });
        Thread execution = Thread.startVirtualThread(call::execute);
        while (!call.announcesLeaving()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        call.cancel();
        execution.join();
        assertThat(call.announcesLeaving()).isTrue();
    }

    @Test
    void neitherAnotherServerNorAResponseToAnotherRequestAnnouncesIt() throws IOException {
        assertThat(executed(421, LEAVING + "Content-Length: 0\r\n\r\n").announcesLeaving())
                .isFalse();
        BackendCall foreign = newCall((request, socket) -> ScriptedServer.write(
                socket,
                "HTTP/1.1 200 OK\r\nCassiabank-Request-Id: of-another\r\n" + LEAVING + "Content-Length: 2\r\n\r\nok"));
        foreign.execute();
        assertThat(foreign.announcesLeaving()).isFalse();
    }

    private BackendCall executed(int status, String rest) throws IOException {
        BackendCall call = newCall((request, socket) -> {
            ScriptedServer.write(socket, request.responseHead(status) + rest);
            socket.close();
        });
        call.execute();
        return call;
    }

    private BackendCall newCall(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        resources.add(server);
        return client.newCall(new BackendRequest(
                "service", "server-1", server.address(), "POST", "/p", Map.of(), new byte[] {1}, "id-1", false, 3_000));
    }
}
