package org.cassiabank.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Collects the body of a request in memory. A body over the limit gets status 413, and its connection is closed.
 */
final class BoundedAggregator extends HttpObjectAggregator {

    private BoundedAggregator(int maximumBytes) {
        super(maximumBytes, true);
    }

    static BoundedAggregator create(int maximumBytes) {
        return new BoundedAggregator(maximumBytes);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        CallerReply refusal =
                CallerReply.notRun(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "body-too-large", 0);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                Unpooled.wrappedBuffer(refusal.body()));
        refusal.headers().forEach((name, values) -> response.headers().set(name, values));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, refusal.body().length);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
