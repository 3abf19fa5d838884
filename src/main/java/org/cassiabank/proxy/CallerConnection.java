package org.cassiabank.proxy;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One connection of a caller. Requests that arrive back to back are answered one after the other, in order.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Closes a connection unless a request is being answered on it. */
    static final Object CLOSE_IDLE = new Object();

    /** Reading stops at this many waiting requests, and with it the notice that a caller has gone. */
    private static final int MAXIMUM_PIPELINED = 64;

    private final CallerServer server;
    private final long idleStepMillis;
    private final Deque<Pending> pending = new ArrayDeque<>();
    private long idleMillis;
    private boolean busy;
    private CallerPresence presence;

    private CallerConnection(CallerServer server, long idleStepMillis) {
        this.server = server;
        this.idleStepMillis = idleStepMillis;
    }

    /**
     * Creates the handler of a connection.
     *
     * @param server the server
     * @param idleStepMillis the time between two events of an idle connection, in milliseconds
     * @return the handler
     */
    static CallerConnection create(CallerServer server, long idleStepMillis) {
        return new CallerConnection(server, idleStepMillis);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (!server.admitConnection()) {
            context.close();
        }
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.releaseConnection();
        pending.clear();
        if (presence != null) {
            presence.markGone();
        }
        context.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        idleMillis = 0;
        if (request.decoderResult().isFailure()) {
            pending.addLast(new Pending(null, refusalOf(request.decoderResult().cause()), false, false));
        } else {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            pending.addLast(new Pending(
                    toRequest(context, request), null, keepAlive, HttpMethod.HEAD.equals(request.method())));
        }
        if (pending.size() >= MAXIMUM_PIPELINED) {
            context.channel().config().setAutoRead(false);
        }
        serveNext(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == StrictRequestDecoder.HEADERS_OVERDUE) {
            CallerReply refusal = CallerReply.notRun(HttpResponseStatus.REQUEST_TIMEOUT.code(), "headers-overdue", 0);
            pending.addLast(new Pending(null, refusal, false, false));
            serveNext(context);
        } else if (event == CLOSE_IDLE && !busy) {
            context.close();
        } else if (event instanceof IdleStateEvent && !busy) {
            // The limit may have been raised since the connection was opened.
            idleMillis += idleStepMillis;
            if (idleMillis >= server.idleMillis()) {
                context.close();
            }
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A connection error concerns this caller only; the request in flight learns of it through channelInactive.
        context.close();
    }

    private void serveNext(ChannelHandlerContext context) {
        if (busy || pending.isEmpty()) {
            return;
        }
        Pending next = pending.removeFirst();
        if (pending.size() < MAXIMUM_PIPELINED) {
            context.channel().config().setAutoRead(true);
        }
        busy = true;
        if (next.request() == null) {
            reply(context, next, next.refusal());
            return;
        }
        presence = CallerPresence.create();
        CallerPresence current = presence;
        server.serve(next.request(), current, result -> context.executor().execute(() -> reply(context, next, result)));
    }

    private void reply(ChannelHandlerContext context, Pending request, CallerReply reply) {
        busy = false;
        presence = null;
        boolean keepAlive = request.keepAlive() && !server.isDraining();
        FullHttpResponse response = toResponse(reply, request.head());
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture written = context.writeAndFlush(response);
        if (request.request() != null) {
            // A graceful stop waits for the last byte; a slow caller may still read long after the handler is done.
            written.addListener(future -> server.finish());
        }
        if (keepAlive) {
            serveNext(context);
        } else {
            pending.clear();
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static FullHttpResponse toResponse(CallerReply reply, boolean head) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                head ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
        reply.headers().forEach((name, values) -> response.headers().set(name, values));
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        boolean lengthOfHead = head && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!lengthOfHead && reply.status() != HttpResponseStatus.NO_CONTENT.code()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        }
        return response;
    }

    private static CallerRequest toRequest(ChannelHandlerContext context, FullHttpRequest request) {
        Map<String, List<String>> headers = new HashMap<>();
        request.headers().forEach(header -> headers.computeIfAbsent(
                        header.getKey().toLowerCase(Locale.ROOT), name -> new ArrayList<>())
                .add(header.getValue()));
        InetSocketAddress remote = (InetSocketAddress) context.channel().remoteAddress();
        return new CallerRequest(
                request.method().name(),
                request.uri(),
                headers,
                ByteBufUtil.getBytes(request.content()),
                remote.getAddress().getHostAddress());
    }

    private static CallerReply refusalOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return CallerReply.notRun(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code(), "headers-too-large", 0);
        }
        return CallerReply.notRun(HttpResponseStatus.BAD_REQUEST.code(), "malformed-request", 0);
    }

    /** A decoded request, or the refusal of one that could not be decoded. */
    private record Pending(CallerRequest request, CallerReply refusal, boolean keepAlive, boolean head) {}
}
