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

/**
 * Guards against requests that get another selector from the index than from a search through all selectors. The index
 * looks up only some paths and patterns, and it is updated with each change instead of being built anew.
 */
class RequestRouterTest {
    private static final List<String> PATHS = List.of("/", "/a", "/a/", "/a/b", "/ab", "/a/b/c", "/%2F", "/a/b/");
    private static final List<String> CUSTOMERS = List.of("x", "xy", "xyz", "y", "zx");
    private static final List<String> CUSTOMER_PATTERNS =
            List.of("*", "x", "x*", "xy*", "*y", "?", "x?z", "*z*", "xyz");

    static Selector selector(
            String name, Set<String> methods, String path, String customerPattern, int weight, int priority) {
        return Selector.forAllHosts(
                name, "menu", methods, path, customerPattern, Map.of(), weight, true, CostHint.LEARNED, priority);
    }

    @Provide
    Arbitrary<Selector> selectors() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 15),
                        Arbitraries.of("GET", "PUT").set().ofMaxSize(2),
                        Arbitraries.of(PATHS),
                        Arbitraries.of(CUSTOMER_PATTERNS),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.integers().between(-1, 2))
                .as((number, methods, path, customerPattern, weight, priority) ->
                        selector("s" + number, methods, path, customerPattern, weight, priority));
    }

    @Example
    void aSelectorThatNamesTheHostPrecedesOneForAllHostsAndMatchesNoOtherHost() {
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
                false,
                RequestLimits.defaults());
        Selector urgent = selector("urgent", Set.of("PUT"), "/", "*", 1, 1);
        RequestRouter router =
                RequestRouter.of(Configuration.empty().withChanges(1, List.of(everywhere, shop, urgent), List.of()));
        Random random = new Random(1);
        assertThat(router.route("shop.example", "GET", "/a/b/c", "x", random)).contains(shop);
        assertThat(router.route("Shop.Example", "GET", "/a", "x", random)).contains(shop);
        assertThat(router.route("other.example", "GET", "/a/b", "x", random)).contains(everywhere);
        assertThat(router.route("other.example", "GET", "/a", "x", random)).isEmpty();
        // The host and the path together read like the host and the path of the selector.
        assertThat(router.route("shop.example/a", "GET", "/x", "x", random)).isEmpty();
        assertThat(router.route("shop.exampl", "GET", "e/a", "x", random)).isEmpty();
        assertThat(router.route("shop.example", "PUT", "/a", "x", random)).contains(urgent);
        RequestRouter routerWithoutShop =
                router.withConfiguration(Configuration.empty().withChanges(2, List.of(everywhere), List.of()));
        assertThat(routerWithoutShop.route("shop.example", "GET", "/a", "x", random))
                .isEmpty();
    }

    @Property(tries = 300)
    void routerFindsTheSameSelectorsAsASearchThroughAllAlsoAfterChanges(
            @ForAll @Size(max = 30) List<@net.jqwik.api.From("selectors") Selector> steps, @ForAll long seed) {
        Configuration configuration = Configuration.empty();
        RequestRouter updatedRouter = RequestRouter.of(configuration);
        for (Selector step : steps) {
            Optional<VersionedDeclaration> existing = configuration.find(step.key());
            // An existing selector is deleted if the step has weight 1, one of three values; others are replaced.
            boolean isDeleted = existing.isPresent() && step.weight() == 1;
            configuration = configuration.withChanges(
                    configuration.revision() + 1,
                    isDeleted ? List.of() : List.of(step),
                    isDeleted ? List.of(step.key()) : List.of());
            updatedRouter = updatedRouter.withConfiguration(configuration);
        }
        RequestRouter newRouter = RequestRouter.of(configuration);
        Random random = new Random(seed);
        for (String path : List.of("/", "/a", "/a/", "/a/b", "/a/bc", "/ab", "/a/b/c/d", "/%2f", "/a/b/?q=/", "/q")) {
            for (String customer : CUSTOMERS) {
                Set<Selector> expected = new HashSet<>(searchAllSelectors(configuration, "GET", path, customer));
                for (RequestRouter testedRouter : List.of(updatedRouter, newRouter)) {
                    Optional<Selector> routedSelector = testedRouter.route("GET", path, customer, random);
                    assertThat(routedSelector.isPresent()).isEqualTo(!expected.isEmpty());
                    routedSelector.ifPresent(selector -> assertThat(expected).contains(selector));
                }
            }
        }
    }

    /** Returns the matching selectors of the highest precedence; several of them share requests by weight. */
    private static List<Selector> searchAllSelectors(
            Configuration configuration, String method, String target, String customer) {
        String path = target.replace("%2f", "%2F").replaceFirst("\\?.*", "");
        Comparator<Selector> byPrecedence = Comparator.comparingInt(Selector::priority)
                .thenComparing(selector -> selector.path().length());
        List<Selector> bestSelectors = new ArrayList<>();
        for (Selector selector : configuration.selectors()) {
            String pathPrefix = selector.path();
            boolean matches = (selector.methods().isEmpty()
                            || selector.methods().contains(method))
                    && customer.matches(
                            selector.customerPattern().replace("*", ".*").replace("?", "."))
                    && (path.equals(pathPrefix)
                            || path.startsWith(pathPrefix.endsWith("/") ? pathPrefix : pathPrefix + "/"));
            if (matches && (bestSelectors.isEmpty() || byPrecedence.compare(selector, bestSelectors.getFirst()) >= 0)) {
                if (!bestSelectors.isEmpty() && byPrecedence.compare(selector, bestSelectors.getFirst()) > 0) {
                    bestSelectors.clear();
                }
                bestSelectors.add(selector);
            }
        }
        return bestSelectors;
    }

    @Example
    void selectorsOfEqualPriorityAndPathShareRequestsByWeight() {
        RequestRouter router = RequestRouter.of(Configuration.empty()
                .withChanges(
                        1,
                        List.of(
                                selector("one", Set.of(), "/a", "*", 1, 0),
                                selector("nine", Set.of(), "/a", "x*", 9, 0)),
                        List.of()));
        Random random = new Random(1);
        int requestsOfNine = 0;
        for (int request = 0; request < 10_000; request++) {
            requestsOfNine +=
                    router.route("GET", "/a", "x", random).orElseThrow().name().equals("nine") ? 1 : 0;
        }
        assertThat(requestsOfNine).isBetween(8_850, 9_150);
    }

    @Example
    void equivalentSpellingsOfAPathMatchTheSameSelector() {
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
