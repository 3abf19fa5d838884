package org.cassiabank.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Finds free loopback ports below the ephemeral range, from which the system assigns ports to outgoing connections.
 *
 * <p>An outgoing connection could occupy a port of the ephemeral range while the server on that port is being
 * restarted.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;
    // Concurrent runs on one machine start at different ports, derived from the process id.
    private static final AtomicInteger NEXT_PORT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 331 % PORT_COUNT));

    private FreePorts() {}

    /**
     * Returns a port that was free at the time of the call and that this process has not returned before.
     *
     * @return the port, from 12,000 to 29,999
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if no port of the range is free
     */
    public static int nextPort() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT_OFFSET.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return port;
            } catch (IOException ignored) {
                continue;
            }
        }
        throw CassiabankException.of(ErrorCode.START_FAILED, "no free loopback port from " + FIRST_PORT + " on");
    }

    /**
     * Returns the loopback address with a port that was free at the time of the call.
     *
     * @return IP address and port
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if no port of the range is free
     */
    public static String nextLoopbackAddress() {
        return "127.0.0.1:" + nextPort();
    }
}
