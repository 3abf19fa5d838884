package org.cassiabank.proxy;

import java.util.Objects;
import java.util.Optional;
import org.cassiabank.declaration.CustomerDeclaration;

/**
 * What is known of the sender of a request. It is kept beside the request, whose headers no longer hold the key.
 */
sealed interface CallerIdentity {

    /**
     * Returns the customer of the request.
     *
     * @return the name of the customer, empty if no key identified one
     */
    default Optional<String> customer() {
        return switch (this) {
            case Unchecked unchecked -> Optional.empty();
            case Unidentified unidentified -> Optional.empty();
            case Identified identified -> Optional.of(identified.customerName());
            case Vouched vouched -> Optional.of(vouched.declaration().name());
        };
    }

    /** The configuration had no customers when the request arrived; the headers pass unchanged. */
    record Unchecked() implements CallerIdentity {}

    /**
     * The configuration has customers, but no key of the request identified one.
     *
     * @param keySent whether the request carried a key
     */
    record Unidentified(boolean keySent) implements CallerIdentity {}

    /**
     * The key of the request identified a customer.
     *
     * @param customerName the name of the customer
     * @param keyDigest the digest of the key, with which it is looked up again
     */
    record Identified(String customerName, String keyDigest) implements CallerIdentity {

        /**
         * Checks that no component is null.
         */
        public Identified {
            Objects.requireNonNull(customerName, "customerName");
            Objects.requireNonNull(keyDigest, "keyDigest");
        }

        /** Omits the digest, so that no message can show it. */
        @Override
        public String toString() {
            return "Identified[" + customerName + "]";
        }
    }

    /**
     * A peer has checked the key, which it did not pass on.
     *
     * @param declaration the customer as it was declared here when the peer passed the request on
     */
    record Vouched(CustomerDeclaration declaration) implements CallerIdentity {

        /**
         * Checks that the declaration is not null.
         */
        public Vouched {
            Objects.requireNonNull(declaration, "declaration");
        }

        /** Omits the digests of the declaration. */
        @Override
        public String toString() {
            return "Vouched[" + declaration.name() + "]";
        }
    }
}
