package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cassiabank.declaration.ConnectionLimits;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.tls.TlsIdentity;

/**
 * Listens for callers over HTTP/1.1.
 *
 * <p>It uses Netty without Jooby, because Jooby decodes form bodies instead of forwarding them and does not notify a
 * handler that its caller has disconnected.
 */
final class CallerServer implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long OVERLOAD_RETRY_AFTER_MILLIS = 1_000;
    private static final String OVERDUE_REASON = "overdue";
    private static final String INTERNAL_ERROR_REASON = "internal-error";
    private static final int LOG_INTERVAL_SECONDS = 1;

    private final CallerLimits configuredLimits;
    private final CallerHandler handler;
    private final ProxyMetrics metrics;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final RequestMemory requestMemory = RequestMemory.ofHeap();
    private volatile CallerLimits limits;
    private volatile boolean draining;
    private volatile boolean closed;
    private Channel listener;

    private CallerServer(CallerLimits limits, CallerHandler handler, ProxyMetrics metrics) {
        this.configuredLimits = limits;
        this.limits = limits;
        this.handler = handler;
        this.metrics = metrics;
    }

    static CallerServer create(CallerLimits limits, CallerHandler handler, ProxyMetrics metrics) {
        return new CallerServer(
                Objects.requireNonNull(limits, "limits"),
                Objects.requireNonNull(handler, "handler"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Binds the address and accepts connections.
     *
     * @param address the address to listen on
     * @param tls the identity that is presented to callers, empty for connections without TLS
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the address cannot be listened on
     */
    void start(HostAndPort address, Optional<TlsIdentity> tls) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        CallerLimits current = limits;
                        channels.add(channel);
                        tls.ifPresent(identity -> channel.pipeline()
                                .addLast(identity.nettyServerContext().newHandler(channel.alloc())));
                        channel.pipeline()
                                .addLast(new IdleStateHandler(0, 0, current.idleMillis(), TimeUnit.MILLISECONDS))
                                .addLast(StrictRequestDecoder.create(current))
                                .addLast(new HttpResponseEncoder())
                                .addLast(RequestBodyGate.create(requestMemory, current.bodyBytes()))
                                .addLast(BoundedAggregator.create(current.bodyBytes()))
                                .addLast(CallerConnection.create(CallerServer.this, current.idleMillis()));
                    }
                });
        try {
            listener = bootstrap.bind(address.host(), address.port()).sync().channel();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw CassiabankException.withCause(ErrorCode.START_FAILED, "interrupted while starting", exception);
        } catch (Exception exception) {
            // Netty throws the checked BindException without declaring it.
            throw CassiabankException.withCause(
                    ErrorCode.START_FAILED,
                    "cannot listen for callers on " + address + ": " + exception.getMessage(),
                    exception);
        }
    }

    /**
     * Applies the operators' limits. Open connections keep their size limits; the new idle time applies to them too.
     *
     * @param declared the operators' limits, if any
     */
    void applyDeclaredLimits(Optional<ConnectionLimits> declared) {
        CallerLimits effectiveLimits = configuredLimits.withDeclaredLimits(declared);
        if (!effectiveLimits.equals(limits)) {
            limits = effectiveLimits;
            LOGGER.atInfo().log("applied limits for callers: declared %s, in force %s", declared, effectiveLimits);
        }
    }

    /** Returns the memory for the bodies of requests. */
    RequestMemory requestMemory() {
        return requestMemory;
    }

    /** Returns how long a connection may be idle, in milliseconds. */
    long idleMillis() {
        return limits.idleMillis();
    }

    /** Closes each connection after its next reply, so that callers move to other entry proxies. */
    void startDraining() {
        draining = true;
    }

    /**
     * Accepts no further connections and closes those on which no request is being read or answered. While draining,
     * the others close after their replies, so that no request of which a part has arrived is cut off.
     */
    void stopListening() {
        if (listener != null) {
            listener.close();
        }
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(CallerConnection.CLOSE_IF_IDLE));
    }

    /**
     * Replies to the requests whose handlers have not returned that their outcome is unknown, as this process ends.
     *
     * @return the number of requests in flight
     */
    int giveUpRequests() {
        int givenUpRequests = inFlight.get();
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(CallerConnection.GIVE_UP));
        return givenUpRequests;
    }

    /** Returns the reply to a request that is still in flight when this process ends. */
    CallerReply replyAtEnd(CallerRequest request) {
        metrics.recordUnknownOutcome(PlannedStop.REASON);
        return handler.replyWithoutResult(request, PlannedStop.REASON);
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Tells whether a request is being read or answered, or its reply is being written. To be called after
     * {@link #stopListening()}, which leaves only such connections open.
     */
    boolean isBusy() {
        return !channels.isEmpty() || inFlight.get() > 0;
    }

    /** Returns the number of requests whose replies have not been written in full. */
    int requestsInFlight() {
        return inFlight.get();
    }

    /** Counts a new connection; returns false if it is over the limit, in which case it has to be closed. */
    boolean admitConnection() {
        if (openConnections.incrementAndGet() <= limits.connections()) {
            return true;
        }
        metrics.recordRefusedRequest("too-many-connections");
        return false;
    }

    /** Stops counting a connection that was closed, whether or not it was admitted. */
    void releaseConnection() {
        openConnections.decrementAndGet();
    }

    /**
     * Answers a request on a virtual thread, or refuses it at once. The request counts as in flight until
     * {@link #completeRequest()} is called.
     *
     * @param request the request
     * @param presence tells whether the caller is still connected
     * @param pendingReply receives the reply
     */
    void handleRequest(CallerRequest request, CallerPresence presence, PendingReply pendingReply) {
        if (inFlight.incrementAndGet() > limits.requestsInFlight()) {
            metrics.recordRefusedRequest("entry-overloaded");
            pendingReply.complete(CallerReply.notRun("entry-overloaded", OVERLOAD_RETRY_AFTER_MILLIS));
            return;
        }
        try {
            workers.execute(() -> pendingReply.complete(handleGuarded(request, presence)));
        } catch (RuntimeException | Error failure) {
            // No thread could be started, for want of memory or because this server was closed.
            pendingReply.complete(replyAfterFailure(request, failure));
        }
    }

    /**
     * Returns the reply to a request whose handler has not returned in time, and logs that it was given up.
     *
     * @param request the request
     * @return a reply of unknown outcome
     */
    CallerReply replyWhenOverdue(CallerRequest request) {
        metrics.recordUnknownOutcome(OVERDUE_REASON);
        CallerReply reply = handler.replyWithoutResult(request, OVERDUE_REASON);
        LOGGER.atSevere().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "gave up a request that was not answered after its deadline: %s %s, headers of the reply: %s",
                request.method(), request.path(), reply.headers());
        return reply;
    }

    /**
     * Returns the reply to a request after an unexpected failure, which is logged and counted.
     *
     * @param request the request
     * @param failure the exception or error
     * @return a reply of unknown outcome
     */
    CallerReply replyAfterFailure(CallerRequest request, Throwable failure) {
        BackgroundTasks.recordFailure("request", failure);
        metrics.recordUnknownOutcome(INTERNAL_ERROR_REASON);
        CallerReply reply = handler.replyWithoutResult(request, INTERNAL_ERROR_REASON);
        LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "no reply could be made to %s %s: %s; headers of the reply instead: %s",
                request.method(), request.path(), failure, reply.headers());
        return reply;
    }

    /** Counts and logs a refusal of a request that could not be read, and so has no identifier. */
    void recordRefusal(CallerReply refusal, String remoteAddress) {
        LOGGER.atInfo().log(
                "refused an unreadable request from %s: reason=%s status=%d",
                remoteAddress, refusal.firstHeader(CallerReply.REASON_HEADER), refusal.status());
        metrics.recordRefusedRequest(refusal.firstHeader(CallerReply.REASON_HEADER));
    }

    /**
     * Waits until a thread that serves callers has ended although the server was not closed, as after an error in
     * Netty. The callers on its connections get no replies any more.
     *
     * @throws InterruptedException if the waiting thread is interrupted
     */
    void awaitUnexpectedEnd() throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        eventLoops.forEach(loop -> loop.terminationFuture().addListener(future -> {
            if (!closed) {
                ended.countDown();
            }
        }));
        ended.await();
    }

    /** Stops counting a request as in flight, after its reply was written or its connection was lost. */
    void completeRequest() {
        inFlight.decrementAndGet();
    }

    /** Handles a request. After an error the caller still gets a reply, and the request is not in flight for ever. */
    private CallerReply handleGuarded(CallerRequest request, CallerPresence presence) {
        try {
            return Objects.requireNonNull(handler.handle(request, presence), "reply of the handler");
        } catch (RuntimeException | Error failure) {
            return replyAfterFailure(request, failure);
        }
    }

    @Override
    public void close() {
        closed = true;
        if (listener != null) {
            // A connection that is still being accepted needs an event loop.
            listener.close().awaitUninterruptibly();
        }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        workers.shutdown();
    }
}
