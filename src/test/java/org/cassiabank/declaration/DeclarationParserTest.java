package org.cassiabank.declaration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Finding;
import org.junit.jupiter.api.Test;

/**
 * Guards against findings that are missing, hidden by others or reported at the wrong line. The TOML library stops at
 * the first syntax error and reports no lines of values, so the parser splits the document and records lines itself.
 */
class DeclarationParserTest {

    private static final String INVALID_DECLARATIONS = """
                [service.a]
                slots = "two"
                flor = 1
                floor = -1
                [service.b]
                slots = 1
                slots = 2
                [service.a]
                slots = 3
                [label.c]
                instances = "menu-[0-9]"
                set = { leaving = "yes" }
                [selector.d]
                service = "a"
                methods = ["GET", "get", "GET", 7]
                path = 1979-05-27
                cost = "cheap"
                servers.tier = 1
                [selector.e]
                path = "/x/../y"
                weight = 99999999999999999999
                priority = 1.5
                repeatable = "no"
                [selector.f]
                path = /x
                [route.g]
                [service."bad name"]
                slots = 1
                floor = 0
                deadline-millis = 1
                """;

    private static List<String> findings(String toml) {
        return catchThrowableOfType(CassiabankException.class, () -> DeclarationParser.parse("f.toml", toml))
                .findings()
                .stream()
                .map(Finding::toString)
                .toList();
    }

    @Test
    void labelRulesServicesAndSelectorsAreRead() {
        String toml = """
                [label.menu-servers]
                instances = "menu-*"
                set.service = "menu"
                [label.menu-servers.set]
                tier = "fast"

                [service."menu"]
                slots = 2 # per server
                floor = 5
                deadline-millis = 800
                [selector.read]
                service = "menu"
                methods = [
                  "GET",
                  "HEAD", # [x]
                ]
                path = "/menu"
                callers = "kitchen-*"
                servers = { tier = "fast" }
                weight = 3
                repeatable = true
                cost = "short"
                priority = -1
                [selector.least]
                service = "menu"
                path = '/'
                """;
        assertThat(DeclarationParser.parse("f.toml", toml))
                .containsExactlyInAnyOrder(
                        new LabelRule("menu-servers", "menu-*", Map.of("service", "menu", "tier", "fast")),
                        new ServiceDeclaration("menu", 2, 5, 800),
                        Selector.forAllHosts(
                                "read",
                                "menu",
                                Set.of("GET", "HEAD"),
                                "/menu",
                                "kitchen-*",
                                Map.of("tier", "fast"),
                                3,
                                true,
                                CostHint.SHORT,
                                -1),
                        Selector.forAllHosts(
                                "least", "menu", Set.of(), "/", "*", Map.of(), 1, false, CostHint.LEARNED, 0));
    }

    /** Guards against keys of customers that remain readable in the configuration or in messages about it. */
    @Test
    void keysOfCustomersAreKeptAsDigestsOnlyAndNotRepeatedInFindings() {
        CustomerDeclaration hotel =
                (CustomerDeclaration) DeclarationParser.parse("f.toml", """
                        [customer.hotel]
                        keys = ["secret-1"]
                        urgency = 2
                        requests-per-second = 2.5
                        burst = 10
                        """).getFirst();
        assertThat(hotel)
                .isEqualTo(CustomerDeclaration.ofKeys("hotel", List.of("secret-1"), OptionalInt.of(2), 2.5, 10));
        assertThat(DeclarationCodec.write(hotel).toString()).doesNotContain("secret-1");
        assertThat(findings("[customer.hotel]\nkeys = [\"secret 1\", \"secret 1\"]\nrequests-per-second = -1"))
                .hasSize(3)
                .noneMatch(finding -> finding.contains("secret"));
    }

    @Test
    void allFindingsAreReportedTogetherWithTheirLines() {
        assertThat(findings(INVALID_DECLARATIONS))
                .containsExactly(
                        "f.toml:1: service.a: missing key deadline-millis",
                        "f.toml:2: service.a.slots: expected an integer, but found a string",
                        "f.toml:3: service.a.flor: unknown key",
                        "f.toml:4: service.a.floor: floor must be from 0 to 1000000, but is -1",
                        "f.toml:7: service.b.slots: defined twice; first in line 6",
                        "f.toml:8: service.a: defined twice; first in line 1",
                        "f.toml:11: label.c.instances: glob pattern \"menu-[0-9]\" contains '[', which is not"
                                + " supported; only * and ? are special",
                        "f.toml:12: label.c.set: label leaving must be \"true\" or \"false\", but is \"yes\"",
                        "f.toml:15: selector.d.methods: \"get\" is not an HTTP method in capitals",
                        "f.toml:15: selector.d.methods: \"GET\" is listed twice",
                        "f.toml:15: selector.d.methods: expected an array of strings, with each element, but found"
                                + " an integer",
                        "f.toml:16: selector.d.path: expected a string, but found a date or time",
                        "f.toml:17: selector.d.cost: cost must be learned, short or long, but is \"cheap\"",
                        "f.toml:18: selector.d.servers.tier: expected a string, but found an integer",
                        "f.toml:19: selector.e: missing key service",
                        "f.toml:20: selector.e.path: path \"/x/../y\" never matches; its normalized form is \"/y\"",
                        "f.toml:21: selector.e.weight: weight is out of range",
                        "f.toml:22: selector.e.priority: expected an integer, but found a decimal number",
                        "f.toml:23: selector.e.repeatable: expected true or false, but found a string",
                        "f.toml:25: selector.f: TOML syntax: Unknown token",
                        "f.toml:26: route: unknown key; expected label, service, selector, limits or customer",
                        "f.toml:27: service.bad name: name \"bad name\" must have 1 to 128 letters, digits, dots,"
                                + " hyphens or underscores and start with a letter or digit");
    }

    @Test
    void textInMultilineStringsIsNotParsedAsKeysOrHeaders() {
        String toml = """
                [label.a]
                instances = \"""
                [service.x]
                slots = 1
                \"""
                set = { x = "#]" }
                [service.y]
                """;
        assertThat(findings(toml))
                .hasSize(4)
                .first()
                .asString()
                .startsWith("f.toml:2: label.a.instances: glob pattern");
    }
}
