package org.cassiabank.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Collects the body of a request in memory.
 *
 * <p>It writes nothing itself, because an earlier request on the connection may still wait for its reply: it reports a
 * body over the limit and an expected {@code 100 Continue} as events to {@link CallerConnection}.
 */
final class BoundedAggregator extends HttpObjectAggregator {
    /** The event that is fired when a body exceeds the limit. The rest of the body is discarded. */
    static final Object BODY_TOO_LARGE = new Object();

    /** The event that is fired when a caller waits for {@code 100 Continue} before it sends a body. */
    static final Object CONTINUE_EXPECTED = new Object();

    private BoundedAggregator(int maximumBytes) {
        super(maximumBytes, true);
    }

    static BoundedAggregator create(int maximumBytes) {
        return new BoundedAggregator(maximumBytes);
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maximumBytes, ChannelPipeline pipeline) {
        if (HttpUtil.is100ContinueExpected(start) && HttpUtil.getContentLength(start, 0L) <= maximumBytes) {
            start.headers().remove(HttpHeaderNames.EXPECT);
            pipeline.context(this).fireUserEventTriggered(CONTINUE_EXPECTED);
        }
        return null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(BODY_TOO_LARGE);
    }
}
