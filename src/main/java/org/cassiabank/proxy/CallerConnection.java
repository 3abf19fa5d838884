package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiabank.kernel.BackgroundTasks;

/**
 * Handles one connection of a caller. Pipelined requests are answered one at a time, in the order of arrival.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** The event that closes a connection unless a request is being read or answered on it. */
    static final Object CLOSE_IF_IDLE = new Object();

    /** The event that answers the request in progress as unknown, because the process ends. */
    static final Object GIVE_UP = new Object();

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The number of waiting requests at which the connection is no longer read. While it is not read, a disconnect of
     * the caller is not noticed either.
     */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 64;

    /** Uploads of a burst take about this long. */
    private static final long NO_ROOM_RETRY_AFTER_MILLIS = 500;

    private final CallerServer server;
    private final long idleEventIntervalMillis;
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private long elapsedIdleMillis;
    private boolean requestInProgress;
    /** Whether a refusal that is pending or a reply that is being written closes the connection. */
    private boolean closing;
    /** Whether the caller waits for {@code 100 Continue} before it sends the body of the next request. */
    private boolean continueExpected;

    private CallerPresence currentPresence;
    /** The reply to the request in progress, null while none is handled. */
    private PendingReply currentReply;

    private CallerRequest currentRequest;

    private CallerConnection(CallerServer server, long idleEventIntervalMillis) {
        this.server = server;
        this.idleEventIntervalMillis = idleEventIntervalMillis;
    }

    /**
     * Creates the handler of a connection.
     *
     * @param server the server that answers the requests and counts the connection
     * @param idleEventIntervalMillis the time between two idle events of Netty on the connection, in milliseconds
     * @return the handler, for one connection only
     */
    static CallerConnection create(CallerServer server, long idleEventIntervalMillis) {
        return new CallerConnection(server, idleEventIntervalMillis);
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
        clearPendingRequests();
        if (currentPresence != null) {
            currentPresence.markGone();
        }
        context.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        elapsedIdleMillis = 0;
        continueExpected = false;
        RequestMemory.Reservation reservation = gate(context).takeReservation();
        if (!acceptRequest(context, request, reservation)) {
            reservation.close();
        }
    }

    /** Adds a request to those that wait for their turn; returns false if it was refused or ignored. */
    private boolean acceptRequest(
            ChannelHandlerContext context, FullHttpRequest request, RequestMemory.Reservation reservation) {
        if (closing) {
            return false;
        }
        if (request.decoderResult().isFailure()) {
            refuse(context, toRefusal(request.decoderResult().cause()));
            return false;
        }
        if (!HostHeader.isValid(
                request.headers().getAll(HttpHeaderNames.HOST),
                request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0)) {
            refuse(context, CallerReply.notRun(HttpResponseStatus.BAD_REQUEST.code(), "malformed-host", 0));
            return false;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        pendingRequests.addLast(new PendingRequest(
                toCallerRequest(context, request),
                null,
                keepAlive,
                HttpMethod.HEAD.equals(request.method()),
                reservation));
        if (pendingRequests.size() >= MAXIMUM_PIPELINED_REQUESTS) {
            gate(context).setPipelineFull(context, true);
        }
        serveNextRequest(context);
        return true;
    }

    private static RequestBodyGate gate(ChannelHandlerContext context) {
        return context.pipeline().get(RequestBodyGate.class);
    }

    private void clearPendingRequests() {
        pendingRequests.forEach(PendingRequest::releaseMemory);
        pendingRequests.clear();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == StrictRequestDecoder.HEADERS_OVERDUE) {
            refuse(context, CallerReply.notRun(HttpResponseStatus.REQUEST_TIMEOUT.code(), "headers-overdue", 0));
        } else if (event == BoundedAggregator.BODY_TOO_LARGE) {
            refuse(
                    context,
                    CallerReply.notRun(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "body-too-large", 0));
        } else if (event == RequestBodyGate.NO_ROOM) {
            refuse(context, CallerReply.notRun("no-memory-for-body", NO_ROOM_RETRY_AFTER_MILLIS));
        } else if (event == BoundedAggregator.CONTINUE_EXPECTED) {
            continueExpected = !closing;
            serveNextRequest(context);
        } else if (event == CLOSE_IF_IDLE) {
            // A request of which a part has arrived, such as an upload, is read and answered; the reply closes.
            boolean reading = context.pipeline().get(StrictRequestDecoder.class).isReadingRequest();
            if (!requestInProgress && !reading) {
                context.close();
            }
        } else if (event == GIVE_UP) {
            if (currentReply != null) {
                currentReply.complete(server.replyAtEnd(currentRequest));
            }
        } else if (event instanceof IdleStateEvent && !requestInProgress) {
            // Idle events come at the limit in force when the connection was opened; it may have been raised since.
            elapsedIdleMillis += idleEventIntervalMillis;
            if (elapsedIdleMillis >= server.idleMillis()) {
                context.close();
            }
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A connection error affects this caller only; channelInactive notifies the request in flight.
        // A decoder fails because of what the caller sent, such as a request without TLS.
        if (cause instanceof IOException || cause instanceof DecoderException) {
            LOGGER.atFine().withCause(cause).log("the connection of a caller failed");
        } else {
            BackgroundTasks.recordFailure("caller-connection", cause);
        }
        context.close();
    }

    /** Answers a request that cannot be read, after the replies to all earlier ones, and closes the connection. */
    private void refuse(ChannelHandlerContext context, CallerReply refusal) {
        if (closing) {
            return;
        }
        closing = true;
        continueExpected = false;
        server.recordRefusal(refusal, remoteAddress(context));
        pendingRequests.addLast(new PendingRequest(null, refusal, false, false, null));
        serveNextRequest(context);
    }

    private void serveNextRequest(ChannelHandlerContext context) {
        if (requestInProgress) {
            return;
        }
        if (pendingRequests.isEmpty()) {
            if (continueExpected) {
                continueExpected = false;
                context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
            return;
        }
        PendingRequest next = pendingRequests.removeFirst();
        if (pendingRequests.size() < MAXIMUM_PIPELINED_REQUESTS) {
            gate(context).setPipelineFull(context, false);
        }
        requestInProgress = true;
        if (next.request() == null) {
            writeReply(context, next, next.refusal());
            return;
        }
        currentReply = newPendingReply(context, next);
        currentRequest = next.request();
        currentPresence = CallerPresence.create(currentReply::expectWithin);
        server.handleRequest(currentRequest, currentPresence, currentReply);
    }

    private PendingReply newPendingReply(ChannelHandlerContext context, PendingRequest pending) {
        AtomicReference<PendingReply> created = new AtomicReference<>();
        created.set(PendingReply.create(
                context.executor(),
                reply -> writeReply(context, pending, reply),
                server::completeRequest,
                () -> created.get().complete(server.replyWhenOverdue(pending.request()))));
        return created.get();
    }

    private void writeReply(ChannelHandlerContext context, PendingRequest pending, CallerReply reply) {
        requestInProgress = false;
        pending.releaseMemory();
        currentPresence = null;
        currentReply = null;
        currentRequest = null;
        boolean keepAlive = pending.keepAlive() && !server.isDraining();
        FullHttpResponse response = toWritableResponse(pending, reply);
        HttpUtil.setKeepAlive(response, keepAlive);
        ChannelFuture writeFuture = context.writeAndFlush(response);
        writeFuture.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        if (pending.request() != null) {
            // A graceful stop waits until the last byte is written; a slow caller may still be reading long after the
            // handler has returned.
            writeFuture.addListener(future -> server.completeRequest());
        }
        if (keepAlive) {
            serveNextRequest(context);
        } else {
            // The caller may send later requests again elsewhere, also those that arrive while the reply is written.
            closing = true;
            clearPendingRequests();
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Converts the reply, or another one of unknown outcome if a header or the status cannot be written. */
    private FullHttpResponse toWritableResponse(PendingRequest pending, CallerReply reply) {
        try {
            return toResponse(reply, pending.headRequest());
        } catch (RuntimeException | Error failure) {
            if (pending.request() == null) {
                throw failure;
            }
            return toResponse(server.replyAfterFailure(pending.request(), failure), pending.headRequest());
        }
    }

    private static FullHttpResponse toResponse(CallerReply reply, boolean headRequest) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.status()),
                headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
        reply.headers().forEach((name, values) -> response.headers()
                .set(name, values.stream().map(CallerConnection::toWireText).toList()));
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        boolean keepsContentLength = headRequest && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!keepsContentLength && reply.status() != HttpResponseStatus.NO_CONTENT.code()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        }
        return response;
    }

    /** Returns a value with one character for each byte of its UTF-8 form, since Netty writes a character as a byte. */
    private static String toWireText(String value) {
        return value.chars().allMatch(character -> character < 0x80)
                ? value
                : new String(value.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static CallerRequest toCallerRequest(ChannelHandlerContext context, FullHttpRequest request) {
        Map<String, List<String>> headers = new HashMap<>();
        request.headers().forEach(header -> headers.computeIfAbsent(
                        header.getKey().toLowerCase(Locale.ROOT), name -> new ArrayList<>())
                .add(header.getValue()));
        return new CallerRequest(
                request.method().name(),
                request.uri(),
                headers,
                ByteBufUtil.getBytes(request.content()),
                remoteAddress(context));
    }

    private static String remoteAddress(ChannelHandlerContext context) {
        // The address is null once the caller has closed the connection.
        return context.channel().remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
    }

    private static CallerReply toRefusal(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return CallerReply.notRun(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code(), "headers-too-large", 0);
        }
        return CallerReply.notRun(HttpResponseStatus.BAD_REQUEST.code(), "malformed-request", 0);
    }

    /**
     * A request that waits for its turn on the connection.
     *
     * @param request the decoded request, null if it could not be decoded
     * @param refusal the reply to a request that could not be decoded, otherwise null
     * @param keepAlive whether the connection stays open after the reply
     * @param headRequest whether the method is HEAD, so that the reply is sent without its body
     * @param reservation the memory of the body, null if the request could not be decoded
     */
    private record PendingRequest(
            CallerRequest request,
            CallerReply refusal,
            boolean keepAlive,
            boolean headRequest,
            RequestMemory.Reservation reservation) {

        private void releaseMemory() {
            if (reservation != null) {
                reservation.close();
            }
        }
    }
}
