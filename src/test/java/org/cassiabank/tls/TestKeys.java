package org.cassiabank.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import java.util.Optional;

/** Generates key pairs with the JDK's keytool and writes them as PEM files. */
final class TestKeys {
    private static final char[] PASSWORD = "changeit".toCharArray();

    private TestKeys() {}

    /** Writes a self-signed identity that trusts the given certificate, or its own one if that is null. */
    static TlsFiles write(Path directory, String name, Path trustedCertificate) throws Exception {
        Path keyStoreFile = directory.resolve(name + ".p12");
        Process keytool = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "keytool")
                                .toString(),
                        "-genkeypair",
                        "-alias",
                        name,
                        "-keyalg",
                        "EC",
                        "-dname",
                        "CN=" + name,
                        "-ext",
                        "san=ip:127.0.0.1",
                        "-ext",
                        "bc=ca:true",
                        "-validity",
                        "2",
                        "-storetype",
                        "PKCS12",
                        "-keystore",
                        keyStoreFile.toString(),
                        "-storepass",
                        new String(PASSWORD))
                .redirectErrorStream(true)
                .start();
        String output = new String(keytool.getInputStream().readAllBytes());
        if (keytool.waitFor() != 0) {
            throw new IllegalStateException("keytool failed: " + output);
        }
        return export(keyStoreFile, directory, name, trustedCertificate);
    }

    private static TlsFiles export(Path keyStoreFile, Path directory, String name, Path trustedCertificate)
            throws IOException, GeneralSecurityException {
        KeyStore keyStore = KeyStore.getInstance(keyStoreFile.toFile(), PASSWORD);
        Path certificate = directory.resolve(name + ".crt");
        Path key = directory.resolve(name + ".key");
        Files.writeString(
                certificate, toPem("CERTIFICATE", keyStore.getCertificate(name).getEncoded()));
        Files.writeString(
                key, toPem("PRIVATE KEY", keyStore.getKey(name, PASSWORD).getEncoded()));
        return new TlsFiles(
                certificate, key, Optional.of(trustedCertificate == null ? certificate : trustedCertificate));
    }

    private static String toPem(String type, byte[] content) {
        return "-----BEGIN " + type + "-----\n"
                + Base64.getMimeEncoder(64, "\n".getBytes()).encodeToString(content) + "\n-----END " + type + "-----\n";
    }
}
