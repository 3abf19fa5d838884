package org.cassiabank.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.quota.QuotaGranted;
import org.cassiabank.quota.QuotaRefused;

/**
 * Charges the first attempts of requests for the slots of one shard to their customers, and takes the charge back when
 * a request is refused. Guarded by the lock of its shard.
 */
final class QuotaCharges {
    private final QuotaGate quotas;
    private final Map<Long, String> customersByTicket = new HashMap<>();

    QuotaCharges(QuotaGate quotas) {
        this.quotas = quotas;
    }

    /** Charges a new request and asks the scheduler; an additional attempt was charged with the first one. */
    SlotDecision acquire(AdmissionRequest request, Supplier<SlotDecision> scheduler) {
        if (request.hints().isAdditionalAttempt()) {
            return scheduler.get();
        }
        return switch (quotas.tryAcquire(request.customer())) {
            case QuotaRefused refused -> new Refused(RefusalReason.QUOTA, refused.retryAfterMillis());
            case QuotaGranted granted -> {
                SlotDecision decision = scheduler.get();
                if (granted.charged() && decision instanceof Queued queued) {
                    customersByTicket.put(queued.ticketId(), request.customer());
                } else if (granted.charged() && decision instanceof Refused) {
                    quotas.release(request.customer());
                }
                yield decision;
            }
        };
    }

    /** Records the decision about a queued request, as far as its entry proxy learns of it. */
    void recordDecision(long ticketId, SlotDecision decision) {
        if (decision instanceof Refused) {
            recordAbandoned(ticketId);
        } else if (decision instanceof Granted) {
            customersByTicket.remove(ticketId);
        }
    }

    /** Records that the entry proxy has not collected the decision about a queued request, so that it has not run. */
    void recordAbandoned(long ticketId) {
        Optional.ofNullable(customersByTicket.remove(ticketId)).ifPresent(quotas::release);
    }
}
