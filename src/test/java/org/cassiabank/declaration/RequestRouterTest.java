package org.cassiabank.declaration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

/** Guards against an index that routes otherwise than trying all selectors would. */
class RequestRouterTest {
    private static final List<String> PATHS = List.of("/", "/a", "/a/", "/a/b", "/ab", "/a/b/c", "/%2F", "/a/b/");
    private static final List<String> CALLERS = List.of("x", "xy", "xyz", "y", "zx");
    private static final List<String> PATTERNS = List.of("*", "x", "x*", "xy*", "*y", "?", "x?z", "*z*", "xyz");

    static Selector selector(String name, Set<String> methods, String path, String callers, int weight, int priority) {
        return Selector.forAllHosts(
                name, "menu", methods, path, callers, Map.of(), weight, true, CostHint.LEARNED, priority);
    }

    @Provide
    Arbitrary<Selector> selectors() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 15),
                        Arbitraries.of("GET", "PUT").set().ofMaxSize(2),
                        Arbitraries.of(PATHS),
                        Arbitraries.of(PATTERNS),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.integers().between(-1, 2))
                .as((number, methods, path, callers, weight, priority) ->
                        selector("s" + number, methods, path, callers, weight, priority));
    }

    @Example
    void aSelectorOfTheHostGoesBeforeOneForAllHostsAndHostsAreKeptApart() {
        Selector everywhere = selector("everywhere", Set.of(), "/a/b", "*", 1, 0);
        Selector shop = new Selector(
                "shop",
                "menu",
                Set.of(),
                "/a",
                "*",
                Map.of(),
                1,
                true,
                CostHint.LEARNED,
                0,
                "shop.example",
                RequestLimits.defaults());
        Selector urgent = selector("urgent", Set.of("PUT"), "/", "*", 1, 1);
        RequestRouter router =
                RequestRouter.of(Configuration.empty().withChanges(1, List.of(everywhere, shop, urgent), List.of()));
        Random random = new Random(1);
        assertThat(router.route("shop.example", "GET", "/a/b/c", "x", random)).contains(shop);
        assertThat(router.route("Shop.Example", "GET", "/a", "x", random)).contains(shop);
        assertThat(router.route("other.example", "GET", "/a/b", "x", random)).contains(everywhere);
        assertThat(router.route("other.example", "GET", "/a", "x", random)).isEmpty();
        assertThat(router.route("shop.example", "PUT", "/a", "x", random)).contains(urgent);
        RequestRouter without =
                router.withConfiguration(Configuration.empty().withChanges(2, List.of(everywhere), List.of()));
        assertThat(without.route("shop.example", "GET", "/a", "x", random)).isEmpty();
    }

    @Property(tries = 300)
    void routesLikeTryingAllSelectorsAlsoAfterChanges(
            @ForAll @Size(max = 30) List<@net.jqwik.api.From("selectors") Selector> steps, @ForAll long seed) {
        Configuration configuration = Configuration.empty();
        RequestRouter router = RequestRouter.of(configuration);
        for (Selector step : steps) {
            Optional<VersionedDeclaration> present = configuration.find(step.key());
            // Every third selector that exists already is deleted, others are added or replaced.
            boolean delete = present.isPresent() && step.weight() == 1;
            configuration = configuration.withChanges(
                    configuration.revision() + 1,
                    delete ? List.of() : List.of(step),
                    delete ? List.of(step.key()) : List.of());
            router = router.withConfiguration(configuration);
        }
        RequestRouter built = RequestRouter.of(configuration);
        Random random = new Random(seed);
        for (String path : List.of("/", "/a", "/a/", "/a/b", "/a/bc", "/ab", "/a/b/c/d", "/%2f", "/a/b/?q=/", "/q")) {
            for (String caller : CALLERS) {
                Set<Selector> expected = new HashSet<>(best(configuration, "GET", path, caller));
                for (RequestRouter tested : List.of(router, built)) {
                    Optional<Selector> found = tested.route("GET", path, caller, random);
                    assertThat(found.isPresent()).isEqualTo(!expected.isEmpty());
                    found.ifPresent(selector -> assertThat(expected).contains(selector));
                }
            }
        }
    }

    /** Tries all selectors; several are returned if they share requests by weight. */
    private static List<Selector> best(Configuration configuration, String method, String target, String caller) {
        String path = target.replace("%2f", "%2F").replaceFirst("\\?.*", "");
        Comparator<Selector> order = Comparator.comparingInt(Selector::priority)
                .thenComparing(selector -> selector.path().length());
        List<Selector> best = new ArrayList<>();
        for (Selector selector : configuration.selectors()) {
            String prefix = selector.path();
            boolean matches = (selector.methods().isEmpty()
                            || selector.methods().contains(method))
                    && caller.matches(
                            selector.customerPattern().replace("*", ".*").replace("?", "."))
                    && (path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/"));
            if (matches && (best.isEmpty() || order.compare(selector, best.getFirst()) >= 0)) {
                if (!best.isEmpty() && order.compare(selector, best.getFirst()) > 0) {
                    best.clear();
                }
                best.add(selector);
            }
        }
        return best;
    }

    @Example
    void equalSelectorsShareRequestsByWeight() {
        RequestRouter router = RequestRouter.of(Configuration.empty()
                .withChanges(
                        1,
                        List.of(
                                selector("one", Set.of(), "/a", "*", 1, 0),
                                selector("nine", Set.of(), "/a", "x*", 9, 0)),
                        List.of()));
        Random random = new Random(1);
        int nine = 0;
        for (int request = 0; request < 10_000; request++) {
            nine += router.route("GET", "/a", "x", random).orElseThrow().name().equals("nine") ? 1 : 0;
        }
        assertThat(nine).isBetween(8_850, 9_150);
    }

    @Example
    void otherSpellingsOfAPathDoNotEvadeItsSelector() {
        RequestRouter router = RequestRouter.of(Configuration.empty()
                .withChanges(
                        1,
                        List.of(
                                selector("orders", Set.of(), "/orders", "*", 1, 0),
                                selector("rest", Set.of(), "/", "*", 1, 0)),
                        List.of()));
        for (String path : List.of("/%6Frders", "/x/../orders/1", "/./orders", "/%2e/orders?x", "/a/%2E%2e/orders")) {
            assertThat(router.route("GET", path, "x", new Random(1)))
                    .map(Selector::name)
                    .contains("orders");
        }
        assertThat(router.route("GET", "/ordersX", "x", new Random(1)))
                .map(Selector::name)
                .contains("rest");
    }
}
