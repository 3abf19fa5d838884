package org.cassiabank.proxy;

import java.util.Objects;

/**
 * An IP address and a port.
 *
 * @param host the IP address as text, not checked
 * @param port the port, from 1 to 65535
 */
public record HostAndPort(String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Checks the port.
     *
     * @throws IllegalArgumentException if the port is not from 1 to 65535
     */
    public HostAndPort {
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port must be from 1 to 65535, not " + port);
        }
    }

    /**
     * Parses an address in the form {@code HOST:PORT}.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text has another form or the port is not from 1 to 65535
     */
    public static HostAndPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("expected HOST:PORT, not '" + text + "'");
        }
        try {
            return new HostAndPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException("expected a number after the colon in '" + text + "'", exception);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
