package org.cassiabank.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Finds free loopback ports below the range from which the system takes ports for outgoing connections.
 *
 * <p>A port of that range could be taken by an outgoing connection while a server is being restarted on it.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;
    // Runs at the same time on one machine start at different places.
    private static final AtomicInteger NEXT_PORT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 331 % PORT_COUNT));

    private FreePorts() {}

    /**
     * Returns a port that was free at the time of the call and that this process has not returned before.
     *
     * @return the port
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if there is none
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
        throw CassiabankException.of(ErrorCode.START_FAILED, "no free port from " + FIRST_PORT + " on");
    }

    /**
     * Returns the address of a free loopback port.
     *
     * @return IP number and port
     */
    public static String nextLoopbackAddress() {
        return "127.0.0.1:" + nextPort();
    }
}
