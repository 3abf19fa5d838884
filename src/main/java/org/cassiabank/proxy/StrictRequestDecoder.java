package org.cassiabank.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decodes requests, refuses those whose length two readers could understand differently, and tells when the headers of
 * a request take too long to arrive.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** The event that is fired when the headers of a request took too long. */
    static final Object HEADERS_OVERDUE = new Object();

    private final long headerMillis;
    private boolean inBody;
    private Future<?> overdue;

    private StrictRequestDecoder(HttpDecoderConfig config, long headerMillis) {
        super(config);
        this.headerMillis = headerMillis;
    }

    static StrictRequestDecoder create(CallerLimits limits) {
        return new StrictRequestDecoder(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits.headerBytes())
                        .setMaxHeaderSize(limits.headerBytes())
                        .setValidateHeaders(true)
                        .setAllowDuplicateContentLengths(false),
                limits.headerMillis());
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int known = out.size();
        super.decode(context, buffer, out);
        for (Object part : out.subList(known, out.size())) {
            inBody = !(part instanceof LastHttpContent);
            cancelTimer();
        }
        if (!inBody && out.size() == known && overdue == null) {
            overdue = context.executor()
                    .schedule(
                            () -> context.fireUserEventTriggered(HEADERS_OVERDUE), headerMillis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        cancelTimer();
        super.handlerRemoved0(context);
    }

    private void cancelTimer() {
        if (overdue != null) {
            overdue.cancel(false);
            overdue = null;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Netty would drop the length; a load balancer in front may have used it to find the end of the request.
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }
}
