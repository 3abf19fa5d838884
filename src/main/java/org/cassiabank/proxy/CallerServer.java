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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.cassiabank.declaration.ConnectionLimits;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.tls.TlsIdentity;

/**
 * Listens for callers over HTTP/1.1.
 *
 * <p>It is built on Netty without Jooby, because Jooby decodes form bodies instead of passing them on, and does not
 * tell a handler that its caller has gone.
 */
final class CallerServer implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EVENT_LOOPS = 2;
    private static final long OVERLOAD_RETRY_MILLIS = 1_000;

    private final CallerLimits settings;
    private final CallerHandler handler;
    private final ProxyMetrics metrics;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final EventLoopGroup loops = new NioEventLoopGroup(EVENT_LOOPS);
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile CallerLimits limits;
    private volatile boolean draining;
    private Channel listener;

    private CallerServer(CallerLimits limits, CallerHandler handler, ProxyMetrics metrics) {
        this.settings = limits;
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
     * Starts to listen.
     *
     * @param address the address
     * @param tls the identity towards callers, if TLS is used
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the address cannot be listened on
     */
    void start(HostAndPort address, Optional<TlsIdentity> tls) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
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
     * Applies the operators' limits. Open connections keep their sizes and take the new idle time.
     *
     * @param declared the operators' limits, if any
     */
    void applyDeclaredLimits(Optional<ConnectionLimits> declared) {
        CallerLimits next = settings.with(declared);
        if (!next.equals(limits)) {
            limits = next;
            LOGGER.atInfo().log("limits of callers: declared %s, in force %s", declared, next);
        }
    }

    /** Returns how long a connection may be idle, in milliseconds. */
    long idleMillis() {
        return limits.idleMillis();
    }

    /** Answers further requests with a closed connection, so that callers move to other entry proxies. */
    void startDraining() {
        draining = true;
    }

    /**
     * Takes no further connections and closes those that carry no request. The others close after their replies, so
     * that no request that was read is cut.
     */
    void stopListening() {
        if (listener != null) {
            listener.close();
        }
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(CallerConnection.CLOSE_IDLE));
    }

    boolean isDraining() {
        return draining;
    }

    int requestsInFlight() {
        return inFlight.get();
    }

    boolean admitConnection() {
        if (connections.incrementAndGet() <= limits.connections()) {
            return true;
        }
        metrics.recordRefusedRequest("too-many-connections");
        return false;
    }

    void releaseConnection() {
        connections.decrementAndGet();
    }

    /**
     * Answers a request on a virtual thread, or refuses it at once. The request counts as in flight until
     * {@link #finish()} is called.
     *
     * @param request the request
     * @param presence tells whether the caller is still there
     * @param reply receives the reply, exactly once
     */
    void serve(CallerRequest request, CallerPresence presence, Consumer<CallerReply> reply) {
        if (inFlight.incrementAndGet() > limits.requestsInFlight()) {
            metrics.recordRefusedRequest("entry-overloaded");
            reply.accept(CallerReply.notRun("entry-overloaded", OVERLOAD_RETRY_MILLIS));
            return;
        }
        workers.execute(() -> reply.accept(handler.handle(request, presence)));
    }

    /** Ends a request, after its reply was written or its connection was lost. */
    void finish() {
        inFlight.decrementAndGet();
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close();
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        workers.shutdown();
    }
}
