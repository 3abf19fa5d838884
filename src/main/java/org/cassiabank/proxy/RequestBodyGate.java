package org.cassiabank.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Reads the body of a request only when there is memory for it. Until then the connection is not read; a request that
 * finds no room in time is refused before its body is collected.
 */
final class RequestBodyGate extends ChannelInboundHandlerAdapter {
    /** The event that is fired when a request is refused because its body found no room in memory. */
    static final Object NO_ROOM = new Object();

    /** A short burst of uploads passes in this time; a caller that is refused later has lost time for another try. */
    private static final long MAXIMUM_WAIT_MILLIS = 500;

    private final RequestMemory memory;
    private final int maximumBodyBytes;
    private final Deque<Object> heldMessages = new ArrayDeque<>();
    private RequestMemory.Reservation reservation;
    private long declaredBytes;
    private long receivedBytes;
    private Future<?> refusalTimer;
    private boolean firstMessageAdmitted;
    private boolean refused;
    private boolean pipelineFull;

    private RequestBodyGate(RequestMemory memory, int maximumBodyBytes) {
        this.memory = memory;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /**
     * Creates the gate of a connection.
     *
     * @param memory the memory for the bodies of all connections
     * @param maximumBodyBytes the largest body that is collected; a larger one is refused behind this gate
     * @return the gate, for one connection only
     */
    static RequestBodyGate create(RequestMemory memory, int maximumBodyBytes) {
        return new RequestBodyGate(memory, maximumBodyBytes);
    }

    /**
     * Hands over the reservation of the request whose last part was passed on; its owner closes it with the request.
     *
     * @return the reservation, a new one without bytes if there is none
     */
    RequestMemory.Reservation takeReservation() {
        RequestMemory.Reservation taken = reservation == null ? memory.open() : reservation;
        reservation = null;
        return taken;
    }

    /** Sets whether too many requests of the connection wait, so that it must not be read either. */
    void setPipelineFull(ChannelHandlerContext context, boolean full) {
        pipelineFull = full;
        updateReading(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (refused) {
            ReferenceCountUtil.release(message);
            return;
        }
        heldMessages.addLast(message);
        passOn(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        stopWaiting();
        releaseHeldMessages();
        if (reservation != null) {
            reservation.close();
        }
        super.channelInactive(context);
    }

    private void passOn(ChannelHandlerContext context) {
        while (!isWaiting() && !heldMessages.isEmpty()) {
            if (!admit(context, heldMessages.getFirst())) {
                refusalTimer =
                        context.executor().schedule(() -> refuse(context), MAXIMUM_WAIT_MILLIS, TimeUnit.MILLISECONDS);
                updateReading(context);
                return;
            }
            firstMessageAdmitted = false;
            context.fireChannelRead(heldMessages.removeFirst());
        }
    }

    private boolean admit(ChannelHandlerContext context, Object message) {
        if (firstMessageAdmitted) {
            return true;
        }
        long furtherBytes =
                switch (message) {
                    case HttpRequest request -> {
                        if (reservation != null) {
                            reservation.close();
                        }
                        reservation = memory.open();
                        receivedBytes = 0;
                        declaredBytes = declaredLength(request);
                        yield closeIfDiscarded(declaredBytes) ? 0 : declaredBytes;
                    }
                    case HttpContent content -> {
                        long formerBytes = Math.max(declaredBytes, receivedBytes);
                        receivedBytes += content.content().readableBytes();
                        yield closeIfDiscarded(receivedBytes) ? 0 : Math.max(0, receivedBytes - formerBytes);
                    }
                    default -> 0;
                };
        return furtherBytes == 0
                || reservation == null
                || reservation.reserve(furtherBytes, () -> context.executor().execute(() -> resume(context)));
    }

    /** Closes the reservation of a body over the limit, which is discarded behind this gate; false for other bodies. */
    private boolean closeIfDiscarded(long bodyBytes) {
        boolean discarded = bodyBytes > maximumBodyBytes;
        if (discarded && reservation != null) {
            reservation.close();
        }
        return discarded;
    }

    /** Returns the declared length, 0 if there is none or if the request is refused because of it. */
    private static long declaredLength(HttpRequest request) {
        try {
            return request.decoderResult().isFailure() ? 0 : Math.max(0, HttpUtil.getContentLength(request, 0L));
        } catch (NumberFormatException exception) {
            return 0;
        }
    }

    private void resume(ChannelHandlerContext context) {
        if (!isWaiting()) {
            return;
        }
        stopWaiting();
        firstMessageAdmitted = true;
        updateReading(context);
        passOn(context);
    }

    private void refuse(ChannelHandlerContext context) {
        stopWaiting();
        refused = true;
        reservation.close();
        reservation = null;
        releaseHeldMessages();
        updateReading(context);
        context.fireUserEventTriggered(NO_ROOM);
    }

    private boolean isWaiting() {
        return refusalTimer != null;
    }

    private void stopWaiting() {
        if (refusalTimer != null) {
            refusalTimer.cancel(false);
            refusalTimer = null;
        }
    }

    private void updateReading(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(!pipelineFull && !isWaiting());
    }

    private void releaseHeldMessages() {
        heldMessages.forEach(ReferenceCountUtil::release);
        heldMessages.clear();
    }
}
