package org.cassiabank.declaration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cassiabank.kernel.Finding;
import org.junit.jupiter.api.Test;

/**
 * Guards against entities without effect and contradictory limits that pass unnoticed, and against warnings about a
 * configuration that has neither.
 */
class ConfigurationReviewTest {
    private static final String CONSISTENT = """
            [label.one]
            instances = "menu-1"
            set = { service = "menu", tier = "a" }
            [label.two]
            instances = "menu-2"
            set = { service = "menu" }
            [label.leaving]
            instances = "menu-2"
            set = { leaving = "true" }
            [service.menu]
            slots = 2
            floor = 1
            deadline-millis = 1000
            [selector.menu]
            service = "menu"
            path = "/menu"
            servers = { tier = "a" }
            timeout-millis = 1000
            target-millis = 1000
            maximum-attempts = 2
            [customer.guest]
            keys = ["secret"]
            requests-per-second = 1
            burst = 5
            [limits.callers]
            header-bytes = 8000
            body-bytes = 8000
            """;

    private static List<String> review(String toml) {
        Configuration configuration =
                Configuration.empty().withChanges(1, DeclarationParser.parse("test", toml), List.of());
        assertThat(ConfigurationValidator.validate("test", configuration)).isEmpty();
        return ConfigurationReview.review("test", configuration).stream()
                .map(Finding::key)
                .toList();
    }

    @Test
    void aConsistentConfigurationHasNoWarnings() {
        assertThat(review(CONSISTENT)).isEmpty();
        assertThat(review(CONSISTENT.replace("maximum-attempts = 2", ""))).isEmpty();
    }

    @Test
    void contradictoryLimitsAreReported() {
        String contradictory = CONSISTENT
                .replace("target-millis = 1000", "target-millis = 1001")
                .replace("maximum-attempts = 2", "maximum-attempts = 4")
                .replace("second = 1\n", "second = 0.9\n")
                .replace("body-bytes = 8000", "body-bytes = 7999");
        assertThat(review(contradictory))
                .containsExactly(
                        "customer.guest.requests-per-second",
                        "limits.callers.body-bytes",
                        "selector.menu.maximum-attempts",
                        "selector.menu.timeout-millis");
        assertThat(review(CONSISTENT
                        .replace("requests-per-second = 1\n", "")
                        .replace("deadline-millis = 1000", "deadline-millis = 999")))
                .containsExactly("customer.guest.burst", "selector.menu.timeout-millis");
    }

    @Test
    void entitiesWithoutEffectAreReported() {
        assertThat(review(CONSISTENT.replace("keys = [\"secret\"]\n", "") + """
                        [service.idle]
                        slots = 1
                        floor = 0
                        deadline-millis = 1
                        [label.unused]
                        instances = "*"
                        set = { color = "red" }
                        [selector.both]
                        service = "menu"
                        path = "/order"
                        methods = ["GET", "PUT"]
                        [selector.get]
                        service = "menu"
                        path = "/order"
                        methods = ["GET"]
                        priority = 1
                        [selector.put]
                        service = "menu"
                        path = "/"
                        methods = ["PUT"]
                        priority = 1
                        [selector.put-again]
                        service = "menu"
                        path = "/"
                        methods = ["PUT"]
                        priority = 1
                        weight = 9
                        """))
                .containsExactly(
                        "customer.guest.keys",
                        "label.unused.set",
                        "selector.both.priority",
                        "selector.put-again.path",
                        "service.idle");
    }
}
