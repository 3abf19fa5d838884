package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.CustomerDeclaration;
import org.cassiabank.declaration.RequestLimits;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.source.StateConfirmation;
import org.cassiabank.source.VersionedConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against final refusals by a configuration that may be older than the one in force elsewhere. */
class UnconfirmedConfigurationTest {
    private static final long BOUND_MILLIS = 2_000;
    private final EntryFixture entry = new EntryFixture();

    @BeforeEach
    void configure() {
        entry.listUnreachableServers();
        entry.fleet.install(new VersionedConfiguration(
                1,
                List.of(
                        CustomerDeclaration.ofKeys("north", List.of("key"), OptionalInt.of(5), 0, 0),
                        new ServiceDeclaration("desk", 2, 0, 1_000),
                        selector())));
    }

    @AfterEach
    void close() throws Exception {
        entry.close();
    }

    @Test
    void anUnknownRouteOrKeyIsRefusedForGoodWhileTheConfigurationIsKnownToBeCurrent() {
        confirm(BOUND_MILLIS / 2);
        assertThat(send("/elsewhere").status()).isEqualTo(404);
        assertThat(send("/desk").status()).isEqualTo(401);
    }

    @Test
    void anUnknownRouteOrKeyIsRefusedForNowWhileANewerConfigurationMayHaveIt() {
        confirm(BOUND_MILLIS + 100);
        for (String path : List.of("/elsewhere", "/desk")) {
            CallerReply reply = send(path);
            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("not-run");
            assertThat(reply.firstHeader(CallerReply.RETRY_AFTER_MILLIS_HEADER)).isEqualTo("500");
        }
        confirm(0);
        assertThat(send("/elsewhere").status()).isEqualTo(404);
    }

    @Test
    void withoutASourceThatTellsHowCurrentItIsAnUnknownRouteIsRefusedForGood() {
        assertThat(send("/elsewhere").status()).isEqualTo(404);
    }

    private void confirm(long ageMillis) {
        entry.fleet.recordConfirmation(new StateConfirmation(MonotonicClock.millis() - ageMillis, BOUND_MILLIS));
    }

    private CallerReply send(String path) {
        CallerRequest request = new CallerRequest(
                "GET",
                path,
                Map.of("request-id", List.of("id"), "deadline-ms", List.of("3000")),
                new byte[0],
                "10.0.0.9");
        return entry.handler.handle(request, CallerPresence.create());
    }

    private static Selector selector() {
        return new Selector(
                "reads",
                "desk",
                Set.of("GET"),
                "/desk",
                "*",
                Map.of(),
                1,
                true,
                CostHint.LEARNED,
                0,
                "",
                false,
                RequestLimits.defaults());
    }
}
