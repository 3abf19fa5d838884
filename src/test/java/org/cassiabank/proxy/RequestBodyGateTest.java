package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against uploads that together take the memory of a daemon, and against small requests that wait for them. */
class RequestBodyGateTest {
    private static final int MEBIBYTE = 1_024 * 1_024;

    private final RequestMemory memory = RequestMemory.ofBytes(4 * MEBIBYTE);

    @Test
    void anUploadWithoutRoomIsNotReadUntilAnotherOneEnds() {
        EmbeddedChannel first = newChannel();
        first.writeInbound(upload(3 * MEBIBYTE));
        EmbeddedChannel second = newChannel();
        second.writeInbound(upload(2 * MEBIBYTE));
        assertThat((Object) first.readInbound()).isInstanceOf(HttpRequest.class);
        assertThat((Object) second.readInbound()).isNull();
        assertThat(second.config().isAutoRead()).isFalse();

        EmbeddedChannel small = newChannel();
        small.writeInbound(upload(1_000));
        assertThat((Object) small.readInbound()).as("a small request").isInstanceOf(HttpRequest.class);

        first.pipeline().get(RequestBodyGate.class).takeReservation().close();
        second.runPendingTasks();
        assertThat((Object) second.readInbound()).isInstanceOf(HttpRequest.class);
        assertThat(second.config().isAutoRead()).isTrue();
        assertThat(memory.reservedBytes()).isEqualTo(2 * MEBIBYTE + 1_000);
    }

    @Test
    void anUploadThatFindsNoRoomInTimeIsRefusedAndHoldsNothing() {
        EmbeddedChannel first = newChannel();
        first.writeInbound(upload(4 * MEBIBYTE));
        EmbeddedChannel second = newChannel();
        second.writeInbound(upload(MEBIBYTE));
        second.advanceTimeBy(1, TimeUnit.SECONDS);
        second.runScheduledPendingTasks();
        second.writeInbound(new DefaultLastHttpContent(Unpooled.buffer(8).writeZero(8)));
        assertThat((Object) second.readInbound()).isNull();
        assertThat(memory.waitingRequests()).isZero();
        assertThat(memory.reservedBytes()).isEqualTo(4 * MEBIBYTE);
    }

    @Test
    void aBodyWithoutDeclaredLengthReservesWhatHasArrivedAndReturnsItWhenItsCallerLeaves() {
        EmbeddedChannel channel = newChannel();
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
        channel.writeInbound(
                head,
                new DefaultHttpContent(Unpooled.buffer(MEBIBYTE).writeZero(MEBIBYTE)),
                new DefaultHttpContent(Unpooled.buffer(MEBIBYTE).writeZero(MEBIBYTE)));
        assertThat(memory.reservedBytes()).isEqualTo(2 * MEBIBYTE);
        channel.close();
        assertThat(memory.reservedBytes()).isZero();
    }

    /** The aggregator behind the gate discards such a body, whose bytes would keep other uploads waiting. */
    @Test
    void aBodyOverTheLimitHoldsNoMemory() {
        EmbeddedChannel declared = newChannel();
        declared.writeInbound(upload(5 * MEBIBYTE), content(3 * MEBIBYTE));
        assertThat(memory.reservedBytes())
                .as("over the limit by its declared length")
                .isZero();

        EmbeddedChannel chunked = newChannel();
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
        chunked.writeInbound(head, content(3 * MEBIBYTE), content(2 * MEBIBYTE));
        assertThat(memory.reservedBytes())
                .as("over the limit by what has arrived")
                .isZero();
    }

    private static DefaultHttpContent content(int bytes) {
        return new DefaultHttpContent(Unpooled.buffer(bytes).writeZero(bytes));
    }

    private EmbeddedChannel newChannel() {
        return new EmbeddedChannel(RequestBodyGate.create(memory, 4 * MEBIBYTE));
    }

    private static HttpRequest upload(int bytes) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/upload");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes);
        return request;
    }
}
