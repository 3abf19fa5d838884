package org.cassiabank.backend;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A socket that counts the write operations that were begun.
 *
 * <p>The count is raised before the operating system is called, because a write that fails may have sent bytes.
 */
final class WriteCountingSocket extends Socket {
    private final AtomicLong writes = new AtomicLong();

    long writes() {
        return writes.get();
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new FilterOutputStream(super.getOutputStream()) {
            @Override
            public void write(int value) throws IOException {
                writes.incrementAndGet();
                out.write(value);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                writes.incrementAndGet();
                out.write(bytes, offset, length);
            }
        };
    }
}
