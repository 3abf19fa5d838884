package org.cassiabank.declaration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.NotEmpty;
import net.jqwik.api.constraints.StringLength;
import org.cassiabank.kernel.Finding;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Guards against invalid configurations that validation accepts, in particular because the validation of a change
 * checks only some selectors, and against servers in a wrong service when several label rules match them.
 */
class ConfigurationTest {

    private static Configuration configurationWith(Declaration... declarations) {
        return Configuration.empty().withChanges(1, List.of(declarations), List.of());
    }

    private static Instance server(String name, InstanceState state) {
        return Instance.of(name, InstanceRole.BACKEND, "127.0.0.1:80", "r", "d", state);
    }

    @Example
    void unchangedEntitiesKeepTheirRevisionsInANewConfiguration() {
        ServiceDeclaration menu = new ServiceDeclaration("menu", 2, 1, 1_000);
        ServiceDeclaration orders = new ServiceDeclaration("orders", 2, 1, 1_000);
        Configuration first = Configuration.empty().withEntities(3, List.of(menu, orders));
        Configuration second = first.withEntities(9, List.of(menu, new ServiceDeclaration("orders", 4, 1, 1_000)));
        assertThat(second.revision()).isEqualTo(9);
        assertThat(second.find(menu.key()).orElseThrow().revision()).isEqualTo(3);
        assertThat(second.find(orders.key()).orElseThrow().revision()).isEqualTo(9);
        assertThat(second.withEntities(10, List.of(menu)).service("orders")).isEmpty();
        assertThatThrownBy(() -> second.withEntities(11, List.of(menu, menu)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Example
    void invalidRelationsBetweenEntitiesAreReported() {
        Configuration configuration = configurationWith(
                new ServiceDeclaration("menu", 2, 3, 100),
                new LabelRule("one", "menu-1", Map.of("service", "menu", "tier", "a")),
                new LabelRule("two", "menu-2", Map.of("service", "menu")),
                new LabelRule("lost", "x-*", Map.of("service", "nowhere")),
                Selector.forAllHosts(
                        "unknown", "orders", Set.of(), "/u", "*", Map.of("tier", "b"), 1, true, CostHint.SHORT, 0),
                RequestRouterTest.selector("all", Set.of(), "/menu", "kitchen-*", 1, 2),
                RequestRouterTest.selector("hidden", Set.of("GET"), "/menu/x", "kitchen-1?", 1, 1),
                RequestRouterTest.selector("visible", Set.of("GET"), "/menu/x", "*", 1, 1),
                RequestRouterTest.selector("first", Set.of("GET"), "/menu/x", "kitchen-7", 1, 2));
        assertThat(ConfigurationValidator.validate("f", configuration))
                .extracting(Finding::toString)
                .containsExactly(
                        "f: label.lost.set.service: unknown service \"nowhere\"",
                        "f: selector.hidden.priority: unreachable: selector.all has priority 2 and matches every"
                                + " request of this selector",
                        "f: selector.unknown.servers.tier: no label rule sets tier = \"b\"",
                        "f: selector.unknown.service: unknown service \"orders\"",
                        "f: service.menu.floor: floor 3 exceeds the 2 servers that label rules put into the service");
    }

    @Property(tries = 300)
    void validatingAChangeReportsTheFindingsOfACompleteValidation(@ForAll long seed) {
        Random random = new Random(seed);
        RequestRouter validRouter = RequestRouter.of(Configuration.empty());
        for (int revision = 1; revision <= 40; revision++) {
            Declaration put = randomDeclaration(random);
            List<EntityKey> deletes =
                    random.nextInt(4) == 0 ? List.of(randomDeclaration(random).key()) : List.of();
            Configuration newConfiguration = validRouter
                    .configuration()
                    .withChanges(validRouter.configuration().revision() + 1, List.of(put), deletes);
            List<Finding> completeFindings = ConfigurationValidator.validate("f", newConfiguration);
            assertThat(ConfigurationValidator.validateChange("f", validRouter, newConfiguration))
                    .isEqualTo(completeFindings);
            validRouter = completeFindings.isEmpty() ? validRouter.withConfiguration(newConfiguration) : validRouter;
        }
    }

    private static Declaration randomDeclaration(Random random) {
        String name = "n" + random.nextInt(3);
        String service = "n" + random.nextInt(2);
        return switch (random.nextInt(6)) {
            case 0 -> new ServiceDeclaration(name, 1, random.nextInt(3), 100);
            case 1 ->
                new LabelRule(
                        name,
                        List.of("a", "b", "a*").get(random.nextInt(3)),
                        Map.of("service", service, "tier", "t" + random.nextInt(2)));
            default ->
                Selector.forAllHosts(
                        "s" + random.nextInt(6),
                        service,
                        Set.of(),
                        List.of("/", "/a", "/a/b").get(random.nextInt(3)),
                        List.of("*", "x*", "xy").get(random.nextInt(3)),
                        random.nextInt(4) == 0 ? Map.of("tier", "t" + random.nextInt(2)) : Map.of(),
                        1,
                        true,
                        CostHint.SHORT,
                        random.nextInt(3));
        };
    }

    @Example
    void theMostSpecificLabelRuleDecidesTheServiceAndLabelsOfAServer() {
        Configuration configuration = configurationWith(
                new LabelRule("z", "menu-*", Map.of("service", "menu", "tier", "a", "leaving", "false")),
                new LabelRule("b", "menu-1*", Map.of("tier", "b")),
                new LabelRule("a", "menu-11", Map.of("service", "canary")),
                new LabelRule("drain", "*-2", Map.of("leaving", "true")));
        InstanceList list = InstanceList.of(
                1,
                Stream.of("menu-3", "menu-2", "menu-10", "menu-11", "other-1")
                        .map(name -> server(name, name.equals("menu-3") ? InstanceState.LEAVING : InstanceState.LIVE))
                        .toList());
        ServersByService serversByService = ServersByService.of(configuration, list);
        assertThat(serversByService.servers("menu"))
                .extracting(server -> server.instance().name() + server.labels().get("tier") + server.leaving())
                .containsExactly("menu-10bfalse", "menu-2atrue", "menu-3atrue");
        assertThat(serversByService.servers("canary")).hasSize(1);
        Selector tierB =
                Selector.forAllHosts("s", "menu", Set.of(), "/", "*", Map.of("tier", "b"), 1, true, CostHint.SHORT, 0);
        assertThat(serversByService.servers(tierB)).hasSize(1);
        Configuration newConfiguration = configuration.withChanges(2, List.of(tierB), List.of());
        assertThat(serversByService.with(newConfiguration, list)).isSameAs(serversByService);
        assertThat(serversByService.with(newConfiguration, InstanceList.empty()).servers("menu"))
                .isEmpty();
    }

    @Property
    void globPatternsMatchLikeRegularExpressions(
            @ForAll @NotEmpty @StringLength(max = 8) @Chars({'a', 'b', '*', '?'}) String pattern,
            @ForAll @StringLength(max = 8) @CharRange(from = 'a', to = 'b') String text,
            @ForAll @NotEmpty @StringLength(max = 5) @Chars({'a', 'b', '*', '?'}) String otherPattern) {
        GlobPattern glob = new GlobPattern(pattern);
        assertThat(glob.matches(text))
                .isEqualTo(text.matches(pattern.replace("*", ".*").replace("?", ".")));
        if (glob.covers(new GlobPattern(otherPattern)) && new GlobPattern(otherPattern).matches(text)) {
            assertThat(glob.matches(text)).isTrue();
        }
    }
}
