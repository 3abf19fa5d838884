package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that end one server after the other, and against requests that are refused although they only
 * ran beside such a request, or when servers ended for another reason.
 */
class FatalRequestsTest {
    private static final RequestDigest REQUEST = digest("request");
    private static final RequestDigest COMPANION = digest("companion");
    private static final long ATTEMPT_MILLIS = 1_000;

    private final FatalRequests requests = FatalRequests.create();

    @Test
    void aRequestThatEndedThreeServersIsRefused() {
        crash(REQUEST, "server-1", 0);
        assertThat(refusalMillis(10)).isEmpty();
        crash(REQUEST, "server-2", 100);
        assertThat(refusalMillis(110)).isEmpty();
        crash(REQUEST, "server-3", 200);
        assertThat(refusalMillis(210)).hasValue(59_990);
        assertThat(requests.countFatal()).isEqualTo(1);
    }

    @Test
    void afterTwoServersARequestIsSentToOneServerAtATimeAndNotRetried() {
        crash(REQUEST, "server-1", 0);
        crash(REQUEST, "server-2", 100);
        assertThat(requests.refusalMillis(REQUEST, true, ATTEMPT_MILLIS, 110)).hasValue(1_000);
        assertThat(refusalMillis(120)).isEmpty();
        assertThat(refusalMillis(130)).hasValue(1_000);
        requests.recordEnd(REQUEST, false, 140);
        assertThat(refusalMillis(150)).isEmpty();
        assertThat(refusalMillis(150 + ATTEMPT_MILLIS))
                .as("the attempt's time is over")
                .isEmpty();
    }

    @Test
    void aRequestThatIsAnsweredAnywhereIsCleared() {
        crash(REQUEST, "server-1", 0);
        crash(REQUEST, "server-2", 100);
        requests.recordEnd(REQUEST, true, 200);
        crash(REQUEST, "server-3", 300);
        assertThat(refusalMillis(310)).isEmpty();
        assertThat(requests.countFatal()).isZero();
    }

    @Test
    void aBreakAtAServerThatAnswersLaterRequestsDoesNotCount() {
        crash(REQUEST, "server-1", 0);
        crash(REQUEST, "server-2", 0);
        crash(REQUEST, "server-3", 0);
        requests.recordLivingServer("server-2", 1, 2_400, 2_500);
        assertThat(refusalMillis(2_510)).as("the attempt began too early").isPresent();
        requests.recordLivingServer("server-2", 2, 5_000, 5_100);
        assertThat(refusalMillis(5_110)).as("another process answered").isPresent();
        requests.recordLivingServer("server-2", 1, 5_000, 5_100);
        assertThat(refusalMillis(5_120)).isEmpty();
    }

    @Test
    void aServerThatEndsTwiceUnderOneNameCountsTwice() {
        crash(REQUEST, "server-1", 0);
        requests.recordCrash(REQUEST, "service", "server-1", 2, 5_000);
        requests.recordCrash(REQUEST, "service", "server-1", 2, 5_010);
        assertThat(refusalMillis(5_020)).isEmpty();
        requests.recordCrash(REQUEST, "service", "server-1", 3, 10_000);
        assertThat(refusalMillis(10_010)).isPresent();
    }

    @Test
    void aRefusalLapsesAndIsDoubledByTheNextServer() {
        crash(REQUEST, "server-1", 0);
        crash(REQUEST, "server-2", 0);
        crash(REQUEST, "server-3", 0);
        assertThat(refusalMillis(59_999)).hasValue(1);
        assertThat(refusalMillis(60_000)).isEmpty();
        crash(REQUEST, "server-4", 60_100);
        assertThat(refusalMillis(60_100)).hasValue(120_000);
    }

    @Test
    void whatIsKnownPassesToAnotherProxy() {
        crash(REQUEST, "server-1", 0);
        crash(REQUEST, "server-2", 100);
        crash(COMPANION, "server-2", 100);
        List<SuspectedRequest> changes = requests.changedSince(0, 2, 150);
        assertThat(changes).extracting(SuspectedRequest::digest).containsExactly(REQUEST);
        FatalRequests successor = FatalRequests.create();
        changes.forEach(request -> successor.merge(request, 150));
        changes.forEach(request -> successor.merge(request, 200));
        successor.recordCrash(REQUEST, "service", "server-3", 1, 300);
        assertThat(successor.refusalMillis(REQUEST, false, ATTEMPT_MILLIS, 310)).isPresent();
    }

    @Test
    void aRequestThatWasClearedStaysClearedWhenAnotherProxyKnowsOnlyTheCrashes() {
        crash(REQUEST, "server-1", 0);
        crash(REQUEST, "server-2", 100);
        crash(REQUEST, "server-3", 100);
        List<SuspectedRequest> crashes = requests.changedSince(0, 2, 150);
        requests.recordEnd(REQUEST, true, 200);
        List<SuspectedRequest> cleared = requests.changedSince(200, 2, 250);
        crashes.forEach(request -> requests.merge(request, 300));
        assertThat(refusalMillis(310)).isEmpty();
        FatalRequests other = FatalRequests.create();
        crashes.forEach(request -> other.merge(request, 300));
        cleared.forEach(request -> other.merge(request, 300));
        assertThat(other.refusalMillis(REQUEST, false, ATTEMPT_MILLIS, 310)).isEmpty();
    }

    @Test
    void aRequestWithoutADigestIsNeverSuspected() {
        for (int server = 0; server < 5; server++) {
            crash(RequestDigest.none(), "server-" + server, 0);
        }
        assertThat(requests.refusalMillis(RequestDigest.none(), false, ATTEMPT_MILLIS, 10))
                .isEmpty();
    }

    @Test
    void theMemoryIsBounded() {
        for (int number = 0; number < 10_000; number++) {
            RequestDigest digest = digest("request-" + number);
            crash(digest, "server-1", number);
            crash(digest, "server-2", number);
        }
        assertThat(requests.changedSince(Long.MIN_VALUE, 2, 10_000)).hasSize(4_096);
    }

    @Test
    void noneOfTenThousandRequestsIsRefusedWhenServersEndAtRandom() {
        Random random = new Random(20_261_204);
        int servers = 8;
        long[] incarnations = new long[servers];
        Set<RequestDigest> refused = new HashSet<>();
        List<RequestDigest> unanswered = new ArrayList<>();
        long nowMillis = 0;
        for (int number = 0; number < 10_000; number++) {
            nowMillis += 20;
            // A few repeat what failed; one in fifty attempts breaks, as when a server ends each second.
            RequestDigest digest = !unanswered.isEmpty() && random.nextInt(4) == 0
                    ? unanswered.remove(random.nextInt(unanswered.size()))
                    : digest("request-" + number);
            for (int attempt = 1; attempt <= 2; attempt++) {
                if (requests.refusalMillis(digest, attempt > 1, ATTEMPT_MILLIS, nowMillis)
                        .isPresent()) {
                    refused.add(digest);
                    break;
                }
                int server = random.nextInt(servers);
                if (random.nextInt(50) == 0) {
                    requests.recordCrash(digest, "service", "server-" + server, incarnations[server]++, nowMillis);
                    if (attempt == 2) {
                        unanswered.add(digest);
                    }
                } else {
                    requests.recordEnd(digest, true, nowMillis);
                    requests.recordLivingServer("server-" + server, incarnations[server], nowMillis - 100, nowMillis);
                    break;
                }
            }
        }
        assertThat(requests.countFatal()).isZero();
        assertThat(refused).isEmpty();
    }

    private void crash(RequestDigest digest, String server, long nowMillis) {
        requests.recordCrash(digest, "service", server, 1, nowMillis);
    }

    private OptionalLong refusalMillis(long nowMillis) {
        return requests.refusalMillis(REQUEST, false, ATTEMPT_MILLIS, nowMillis);
    }

    private static RequestDigest digest(String text) {
        return RequestDigest.of("caller", "", "GET", "/" + text, text.getBytes(StandardCharsets.UTF_8));
    }
}
