package org.cassiabank.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decodes requests, refuses those whose length is ambiguous between HTTP implementations, and fires an event when the
 * headers of a request take too long to arrive.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** The event that is fired when the headers of a request have not arrived in time. */
    static final Object HEADERS_OVERDUE = new Object();

    private final long headerTimeoutMillis;
    private boolean readingBody;
    private Future<?> headerTimer;

    private StrictRequestDecoder(HttpDecoderConfig config, long headerTimeoutMillis) {
        super(config);
        this.headerTimeoutMillis = headerTimeoutMillis;
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
        int previousSize = out.size();
        super.decode(context, buffer, out);
        for (Object decoded : out.subList(previousSize, out.size())) {
            if (decoded instanceof HttpMessage message) {
                refuseUnknownTransferEncoding(message);
            }
            readingBody = !(decoded instanceof LastHttpContent);
            cancelHeaderTimer();
        }
        if (!readingBody && out.size() == previousSize && headerTimer == null) {
            headerTimer = context.executor()
                    .schedule(
                            () -> context.fireUserEventTriggered(HEADERS_OVERDUE),
                            headerTimeoutMillis,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Netty takes the length instead of an encoding that it does not know, and may see another end than intended. */
    private static void refuseUnknownTransferEncoding(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean known = encodings.isEmpty()
                || encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst());
        if (message.decoderResult().isSuccess() && !known) {
            message.setDecoderResult(
                    DecoderResult.failure(new IllegalArgumentException("transfer encoding " + encodings)));
        }
    }

    /** Tells whether a part of a request has been read whose rest is still to come. */
    boolean isReadingRequest() {
        return readingBody || headerTimer != null;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        cancelHeaderTimer();
        super.handlerRemoved0(context);
    }

    private void cancelHeaderTimer() {
        if (headerTimer != null) {
            headerTimer.cancel(false);
            headerTimer = null;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Netty would drop the length, but a load balancer in front may have used it to find the end of the request.
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }
}
