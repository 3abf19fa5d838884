package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against announcements of backend servers that the proxies do not read. */
class PlatformHeaderConventionsTest {
    private final PlatformHeaderConventions conventions = new PlatformHeaderConventions();

    /** Orders reached an upstream for as long as the store listed it, because no response counted as its notice. */
    @Test
    void aServerAnnouncesItsLeavingWithAHeaderInAnySpelling() {
        assertThat(conventions.announcesLeaving(Map.of("Server-Leaving", List.of("1"))))
                .isTrue();
        assertThat(conventions.announcesLeaving(Map.of("server-leaving", List.of("1", "1"))))
                .isTrue();
    }

    /** These statuses tell callers that a request has not run, whoever sends them. */
    @Test
    void fourStatusesPromiseThatARequestHasNotRun() {
        assertThat(IntStream.range(100, 600).filter(conventions::promisesNotRun))
                .containsExactly(408, 421, 429, 503);
    }

    @Test
    void noOtherValueAndNoClosedConnectionIsAnAnnouncement() {
        assertThat(conventions.announcesLeaving(Map.of())).isFalse();
        for (String value : List.of("0", "", "10", "yes")) {
            assertThat(conventions.announcesLeaving(Map.of("Server-Leaving", List.of(value))))
                    .as(value)
                    .isFalse();
        }
        assertThat(conventions.announcesLeaving(Map.of("Server-Leaving", List.of("1", "0"))))
                .isFalse();
        assertThat(conventions.announcesLeaving(Map.of("Connection", List.of("close"))))
                .isFalse();
    }
}
