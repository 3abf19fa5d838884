package org.cassiabank.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ProtocolException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.Set;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.cassiabank.http.SeparateResponses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a part of a body that counts as whole over TLS, where the lines of its head are not seen. */
@Timeout(30)
class TlsResponseEndTest {
    @TempDir
    private Path directory;

    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Lengtx: 3000\r\n", "Connection: close\r\n"})
    void aBodyThatDoesNotDeclareItsEndIsRefused(String fields) {
        assertThatThrownBy(() -> receive(fields))
                .isInstanceOf(ProtocolException.class)
                .hasMessageContaining("neither a length nor chunks");
    }

    @Test
    void aBodyOfADeclaredLengthIsDelivered() throws Exception {
        assertThat(receive("Content-Length: 2\r\n")).isEqualTo("[]");
    }

    private String receive(String fields) throws Exception {
        TlsFiles files = TestKeys.write(directory, "store", null);
        TlsIdentity identity = TlsIdentity.load(files);
        try (ServerSocket listener =
                TlsServerSocketFactory.of(identity).createServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.startVirtualThread(() -> serve(listener, "HTTP/1.1 200 OK\r\n" + fields + "\r\n[]"));
            OkHttpClient client = SeparateResponses.newClientBuilder(new ConnectionPool(), 1_000, Set.of())
                    .sslSocketFactory(
                            identity.clientSocketContext().getSocketFactory(), trustManager(files.certificate()))
                    .build();
            Request request = new Request.Builder()
                    .url("https://127.0.0.1:" + listener.getLocalPort() + "/")
                    .build();
            try (Response response = client.newCall(request).execute()) {
                return response.body().string();
            }
        }
    }

    private static void serve(ServerSocket listener, String response) {
        try (Socket socket = listener.accept()) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) socket.getInputStream().read());
            }
            socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException expected) {
            // The client closed the connection; the assertions notice what is missing.
        }
    }

    private static X509TrustManager trustManager(Path certificate) throws Exception {
        KeyStore keyStore = KeyStore.getInstance(KeyStore.getDefaultType());
        keyStore.load(null, null);
        try (InputStream input = Files.newInputStream(certificate)) {
            keyStore.setCertificateEntry(
                    "store", CertificateFactory.getInstance("X.509").generateCertificate(input));
        }
        TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(keyStore);
        return (X509TrustManager) factory.getTrustManagers()[0];
    }
}
