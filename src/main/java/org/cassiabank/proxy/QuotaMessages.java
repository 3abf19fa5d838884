package org.cassiabank.proxy;

import java.util.List;
import org.cassiabank.peer.generated.QuotaLease;
import org.cassiabank.peer.generated.QuotaReport;
import org.cassiabank.peer.generated.QuotaUse;

/**
 * Converts between the types of {@link org.cassiabank.quota} and the generated Thrift messages.
 */
final class QuotaMessages {
    private QuotaMessages() {}

    static QuotaReport toMessage(org.cassiabank.quota.QuotaReport report) {
        return new QuotaReport(
                report.participant(),
                report.incarnation(),
                report.uses().stream().map(QuotaMessages::toMessage).toList());
    }

    private static QuotaUse toMessage(org.cassiabank.quota.QuotaUse use) {
        QuotaUse message = new QuotaUse(
                use.customer(),
                use.leaseNumber(),
                use.total(),
                use.usedInWindow(),
                use.refused(),
                use.fallbackShare(),
                use.holdsLease());
        if (use.ended()) {
            message.setEnded(true);
        }
        return message;
    }

    static QuotaLease toMessage(org.cassiabank.quota.QuotaLease lease) {
        return new QuotaLease(
                lease.customer(),
                lease.number(),
                lease.ceiling(),
                lease.open(),
                lease.leaseMillis(),
                lease.fallbackShare(),
                lease.retryAfterMillis());
    }

    /** The sending time is on the clock of the participant and stays there. */
    static org.cassiabank.quota.QuotaReport toReport(QuotaReport message, String coordinator) {
        return new org.cassiabank.quota.QuotaReport(
                message.getParticipant(),
                message.getIncarnation(),
                coordinator,
                0,
                message.getUses().stream()
                        .map(use -> new org.cassiabank.quota.QuotaUse(
                                use.getCustomer(),
                                use.getLeaseNumber(),
                                use.getTotal(),
                                use.getUsedInWindow(),
                                use.isHoldsLease(),
                                use.getRefused(),
                                use.getFallbackShare(),
                                use.isEnded()))
                        .toList());
    }

    static List<org.cassiabank.quota.QuotaLease> toLeases(List<QuotaLease> messages) {
        return messages.stream()
                .map(lease -> new org.cassiabank.quota.QuotaLease(
                        lease.getCustomer(),
                        lease.getNumber(),
                        lease.getCeiling(),
                        lease.isOpen(),
                        lease.getLeaseMillis(),
                        lease.getFallbackShare(),
                        lease.getRetryAfterMillis()))
                .toList();
    }
}
