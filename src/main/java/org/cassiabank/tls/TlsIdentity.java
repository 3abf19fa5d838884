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
 * A TLS identity that is read again when its files change, so that keys are replaced without a restart. Connections
 * that are open keep the identity they started with.
 *
 * <p>Instances are safe for use by many threads.
 */
public final class TlsIdentity {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
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
     * Reads an identity.
     *
     * @param files the files
     * @return the identity
     * @throws CassiabankException with {@link ErrorCode#INVALID_INPUT} if a file cannot be read or is not valid
     */
    public static TlsIdentity load(TlsFiles files) {
        Objects.requireNonNull(files, "files");
        try {
            return new TlsIdentity(files, read(files));
        } catch (IOException | IllegalArgumentException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.INVALID_INPUT,
                    "TLS identity of " + files.certificate() + " and " + files.key() + " cannot be used: "
                            + exception.getMessage(),
                    exception);
        }
    }

    /**
     * Returns the context for connections that this process accepts.
     *
     * @return the current context; it asks the other side for a certificate if trusted certificates are set
     */
    public synchronized SslContext nettyServerContext() {
        refresh();
        return contexts.server();
    }

    /**
     * Returns the context for accepted connections on plain sockets.
     *
     * @return the current context
     */
    public SSLContext serverSocketContext() {
        return ((JdkSslContext) nettyServerContext()).context();
    }

    /**
     * Returns the context for connections that this process opens on plain sockets.
     *
     * @return the current context
     */
    public synchronized SSLContext clientSocketContext() {
        refresh();
        return ((JdkSslContext) contexts.client()).context();
    }

    /** A replacement that is not valid, such as a half-written file, leaves the last good identity in force. */
    private void refresh() {
        long now = System.nanoTime();
        if (now - nextCheckNanos < 0) {
            return;
        }
        nextCheckNanos = now + CHECK_INTERVAL_NANOS;
        try {
            if (!contexts.modified().equals(modified(files))) {
                contexts = read(files);
                LOGGER.atInfo().log("TLS identity of %s was replaced", files.certificate());
            }
        } catch (IOException | IllegalArgumentException exception) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
                    "TLS identity of %s cannot be replaced, the last one stays in force: %s",
                    files.certificate(), exception.getMessage());
        }
    }

    private static Contexts read(TlsFiles files) throws IOException {
        List<Long> modified = modified(files);
        SslContextBuilder server = SslContextBuilder.forServer(
                        files.certificate().toFile(), files.key().toFile())
                .sslProvider(SslProvider.JDK)
                .protocols(PROTOCOLS);
        SslContextBuilder client = SslContextBuilder.forClient()
                .keyManager(files.certificate().toFile(), files.key().toFile())
                .sslProvider(SslProvider.JDK)
                .protocols(PROTOCOLS);
        if (files.trustedCertificates().isPresent()) {
            server.trustManager(files.trustedCertificates().get().toFile()).clientAuth(ClientAuth.REQUIRE);
            client.trustManager(files.trustedCertificates().get().toFile());
        }
        try {
            return new Contexts(server.build(), client.build(), modified);
        } catch (SSLException exception) {
            throw new IOException(exception.getMessage(), exception);
        }
    }

    private static List<Long> modified(TlsFiles files) throws IOException {
        List<Path> paths = new ArrayList<>(List.of(files.certificate(), files.key()));
        files.trustedCertificates().ifPresent(paths::add);
        List<Long> modified = new ArrayList<>();
        for (Path path : paths) {
            modified.add(Files.getLastModifiedTime(path).toMillis());
        }
        return modified;
    }

    /** The contexts of one state of the files, with the times at which the files were modified. */
    private record Contexts(SslContext server, SslContext client, List<Long> modified) {}
}
