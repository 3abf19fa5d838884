package org.cassiabank.tls;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * A TLS identity that is reloaded when its files change, so that keys can be replaced without a restart. Open
 * connections keep the identity with which they were opened.
 *
 * <p>Instances are thread-safe.
 */
public final class TlsIdentity {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** The minimum time between two checks whether the files were modified. */
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private final TlsFiles files;
    private Contexts contexts;
    private long nextCheckNanos;

    private TlsIdentity(TlsFiles files, Contexts contexts) {
        this.files = files;
        this.contexts = contexts;
        this.nextCheckNanos = System.nanoTime() + CHECK_INTERVAL_NANOS;
    }

    /**
     * Loads an identity. Later calls check at most once a second whether a file was modified.
     *
     * @param files the files, which may be replaced later
     * @return the identity
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if a file cannot be read or is not valid
     */
    public static TlsIdentity load(TlsFiles files) {
        Objects.requireNonNull(files, "files");
        try {
            return new TlsIdentity(files, loadContexts(files));
        } catch (IOException | IllegalArgumentException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT,
                    "TLS identity of " + files.certificate() + " and " + files.key() + " cannot be used: "
                            + exception.getMessage(),
                    exception);
        }
    }

    /**
     * Returns the Netty context for connections that this process accepts.
     *
     * @return the current context; it requires a client certificate if trusted certificates are set
     */
    public synchronized SslContext nettyServerContext() {
        reloadIfModified();
        return contexts.server();
    }

    /**
     * Returns the JDK context for connections that this process accepts.
     *
     * @return the current context; it does not request a client certificate by itself
     */
    public SSLContext serverSocketContext() {
        return ((JdkSslContext) nettyServerContext()).context();
    }

    /**
     * Returns the JDK context for connections that this process opens.
     *
     * @return the current context
     */
    public synchronized SSLContext clientSocketContext() {
        reloadIfModified();
        return ((JdkSslContext) contexts.client()).context();
    }

    /** Reloads modified files. If they are invalid, for example half written, the previous identity stays in use. */
    private void reloadIfModified() {
        long nowNanos = System.nanoTime();
        if (nowNanos - nextCheckNanos < 0) {
            return;
        }
        nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
        try {
            if (!contexts.modifiedMillis().equals(lastModifiedMillis(files))) {
                contexts = loadContexts(files);
                LOGGER.atInfo().log("TLS identity of %s reloaded after its files changed", files.certificate());
            }
        } catch (IOException | IllegalArgumentException exception) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                    "TLS identity of %s cannot be reloaded; the previous one stays in use: %s",
                    files.certificate(), exception.getMessage());
        }
    }

    private static Contexts loadContexts(TlsFiles files) throws IOException {
        List<Long> modifiedMillis = lastModifiedMillis(files);
        SslContextBuilder serverBuilder = SslContextBuilder.forServer(
                        files.certificate().toFile(), files.key().toFile())
                .sslProvider(SslProvider.JDK)
                .protocols(PROTOCOLS);
        SslContextBuilder clientBuilder = SslContextBuilder.forClient()
                .keyManager(files.certificate().toFile(), files.key().toFile())
                .sslProvider(SslProvider.JDK)
                .protocols(PROTOCOLS);
        if (files.trustedCertificates().isPresent()) {
            serverBuilder
                    .trustManager(files.trustedCertificates().get().toFile())
                    .clientAuth(ClientAuth.REQUIRE);
            clientBuilder.trustManager(files.trustedCertificates().get().toFile());
        }
        try {
            return new Contexts(serverBuilder.build(), clientBuilder.build(), modifiedMillis);
        } catch (SSLException exception) {
            throw new IOException(exception.getMessage(), exception);
        }
    }

    private static List<Long> lastModifiedMillis(TlsFiles files) throws IOException {
        List<Path> paths = new ArrayList<>(List.of(files.certificate(), files.key()));
        files.trustedCertificates().ifPresent(paths::add);
        List<Long> modifiedMillis = new ArrayList<>();
        for (Path path : paths) {
            modifiedMillis.add(Files.getLastModifiedTime(path).toMillis());
        }
        return modifiedMillis;
    }

    /** The contexts that were loaded from one version of the files, with the modification times of the files. */
    private record Contexts(SslContext server, SslContext client, List<Long> modifiedMillis) {}
}
