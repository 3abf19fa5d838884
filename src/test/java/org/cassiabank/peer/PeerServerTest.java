package org.cassiabank.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.apache.thrift.server.TThreadPoolServer;
import org.cassiabank.load.FreePorts;
import org.cassiabank.peer.generated.Peer;
import org.junit.jupiter.api.Test;

/** Guards against a closed server that goes on accepting connections, which takes a core and fills the log. */
class PeerServerTest {
    private static final Logger THRIFT_LOGGER = Logger.getLogger(TThreadPoolServer.class.getName());
    private static final int SERVERS = 50;

    @Test
    void aServerThatIsClosedBeforeItBeginsToServeDoesNotAcceptWithoutEnd() throws InterruptedException {
        AtomicInteger warnings = new AtomicInteger();
        Handler counter = new Handler() {
            @Override
            public void publish(LogRecord record) {
                warnings.incrementAndGet();
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        THRIFT_LOGGER.addHandler(counter);
        try {
            for (int number = 0; number < SERVERS; number++) {
                PeerServer.start("127.0.0.1", FreePorts.nextPort(), PeerSocketFactories.plain(), unusedPeer())
                        .close();
            }
            TimeUnit.MILLISECONDS.sleep(500);
        } finally {
            THRIFT_LOGGER.removeHandler(counter);
        }
        assertThat(warnings).hasValueLessThanOrEqualTo(SERVERS);
    }

    private static Peer.Iface unusedPeer() {
        return (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(), new Class<?>[] {Peer.Iface.class}, (proxy, method, arguments) -> {
                    throw new IllegalStateException("unexpected call " + method.getName());
                });
    }
}
