package org.cassiabank.backend;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A socket that counts the write operations that have started.
 *
 * <p>The count increases before the operating system is called, because a failing write may have sent bytes.
 */
final class WriteCountingSocket extends Socket {
    private final AtomicLong startedWrites = new AtomicLong();

    /** Returns the number of write operations since the socket was created. */
    long startedWrites() {
        return startedWrites.get();
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new FilterOutputStream(super.getOutputStream()) {
            @Override
            public void write(int value) throws IOException {
                startedWrites.incrementAndGet();
                out.write(value);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                startedWrites.incrementAndGet();
                out.write(bytes, offset, length);
            }
        };
    }
}
