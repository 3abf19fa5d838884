package org.cassiabank.tls;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * The files of one TLS identity.
 *
 * @param certificate the PEM file with the certificate chain
 * @param key the PEM file with the unencrypted PKCS 8 private key
 * @param trustedCertificates the PEM file with the certificates that the other side must descend from, empty to ask the
 *     other side for none
 */
public record TlsFiles(Path certificate, Path key, Optional<Path> trustedCertificates) {

    /**
     * Checks that no component is null.
     */
    public TlsFiles {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trustedCertificates, "trustedCertificates");
    }
}
