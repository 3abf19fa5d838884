package org.cassiabank.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses those whose length two readers could understand differently.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    static StrictRequestDecoder create(CallerLimits limits) {
        return new StrictRequestDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.headerBytes())
                .setMaxHeaderSize(limits.headerBytes())
                .setValidateHeaders(true)
                .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Netty would drop the length; a load balancer in front may have used it to find the end of the request.
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked");
    }
}
