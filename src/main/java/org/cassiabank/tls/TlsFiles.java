package org.cassiabank.tls;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * The PEM files of one TLS identity: certificate, private key and trusted certificates.
 *
 * @param certificate the PEM file with the certificate chain
 * @param key the PEM file with the unencrypted private key in PKCS 8 format
 * @param trustedCertificates the PEM file with the certificates to which the certificate chain of the other side must
 *     lead; if empty, the Netty context requires no client certificate
 */
public record TlsFiles(Path certificate, Path key, Optional<Path> trustedCertificates) {

    /**
     * Creates the set of files; none is read.
     *
     * @throws NullPointerException if a component is null
     */
    public TlsFiles {
        Objects.requireNonNull(certificate, "certificate");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(trustedCertificates, "trustedCertificates");
    }
}
