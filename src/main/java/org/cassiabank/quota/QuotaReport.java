package org.cassiabank.quota;

import java.util.List;
import java.util.Objects;

/**
 * The message of a participant to one coordinator.
 *
 * @param participant the name of the participant
 * @param incarnation differs between the processes of a participant
 * @param coordinator the name of the coordinator
 * @param sentAtMillis the time on the participant's clock, in milliseconds
 * @param uses the use of the coordinator's customers
 */
public record QuotaReport(
        String participant, long incarnation, String coordinator, long sentAtMillis, List<QuotaUse> uses) {

    /**
     * Copies the list.
     *
     * @throws NullPointerException if a component is null
     */
    public QuotaReport {
        Objects.requireNonNull(participant, "participant");
        Objects.requireNonNull(coordinator, "coordinator");
        uses = List.copyOf(uses);
    }
}
