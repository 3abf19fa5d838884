package org.cassiabank.soak;

import java.util.List;
import java.util.function.IntPredicate;

/**
 * The processes of a fleet and the services beside those of {@link SoakCaller}.
 *
 * @param daemonCount the number of daemons
 * @param relayed selects the numbers of the daemons whose connections can be cut
 * @param extraServices further services, whose servers the test provides
 */
record SoakLayout(int daemonCount, IntPredicate relayed, List<ExtraService> extraServices) {

    SoakLayout {
        extraServices = List.copyOf(extraServices);
    }
}
