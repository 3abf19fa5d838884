package org.cassiabank.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * One accepted connection of a backend stand-in. It can be closed or made silent, and code can wait until it is closed.
 */
final class BackendConnection extends ChannelDuplexHandler {
    private final BackendConnections connections;
    private final Channel channel;
    private final long number;
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean silent;

    private BackendConnection(BackendConnections connections, Channel channel) {
        this.connections = connections;
        this.channel = channel;
        this.number = connections.nextNumber();
    }

    static BackendConnection of(BackendConnections connections, Channel channel) {
        return new BackendConnection(connections, channel);
    }

    long number() {
        return number;
    }

    /** Discards all further bytes in both directions while the connection stays open. */
    void silence() {
        silent = true;
    }

    void cut() {
        channel.close();
    }

    /** Waits until the connection is closed; returns false if it is still open after the timeout in nanoseconds. */
    boolean awaitClosed(long timeoutNanos) throws InterruptedException {
        return closed.await(timeoutNanos, TimeUnit.NANOSECONDS);
    }

    void awaitClosed() throws InterruptedException {
        closed.await();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        if (!connections.tryAdd(this)) {
            context.close();
            return;
        }
        // The handler of Jooby is the last one; the header must be on the request before Jooby reads the headers.
        context.pipeline()
                .addBefore(
                        context.pipeline().lastContext().name(), "connection-tag", new ConnectionNumberHandler(number));
        super.channelActive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (silent) {
            ReferenceCountUtil.release(message);
        } else {
            super.channelRead(context, message);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (silent) {
            ReferenceCountUtil.release(message);
            promise.trySuccess();
        } else {
            super.write(context, message, promise);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        connections.remove(this);
        closed.countDown();
        super.channelInactive(context);
    }

    /** Adds a header with the number of the connection to each request. */
    private static final class ConnectionNumberHandler extends ChannelInboundHandlerAdapter {
        private final String number;

        private ConnectionNumberHandler(long number) {
            this.number = Long.toString(number);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof HttpRequest request) {
                request.headers().set(BackendConnections.NUMBER_HEADER, number);
            }
            super.channelRead(context, message);
        }
    }
}
