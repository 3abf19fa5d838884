package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cassiabank.collection.PersistentMap;

/**
 * Finds the selector of a request. Immutable.
 *
 * <p>Selectors are indexed by host and path and, for each path, by customer pattern, so that a request looks up only
 * the prefixes of its own path. A path prefix matches at segment boundaries: {@code /menu} matches {@code /menu}
 * and {@code /menu/today}, but not {@code /menus}.
 */
public final class RequestRouter {
    // Paths of selectors are at most this long, so longer prefixes of a request path are not looked up.
    private static final int MAXIMUM_PATH_CHARACTERS = 512;
    private static final Comparator<Selector> BY_PRIORITY_AND_NAME =
            Comparator.comparingInt(Selector::priority).reversed().thenComparing(Selector::name);
    /** Separates host and path in a key; neither contains it, so no host with a slash matches another host's path. */
    private static final char KEY_SEPARATOR = '\n';

    private static final GlobIndex<Selector> EMPTY_INDEX = GlobIndex.empty(BY_PRIORITY_AND_NAME);
    private static final RequestRouter EMPTY = new RequestRouter(Configuration.empty(), PersistentMap.empty());

    private final Configuration configuration;
    /** The keys come from {@link #key}; the host is empty for selectors that match all hosts. */
    private final PersistentMap<String, GlobIndex<Selector>> selectorsByHostAndPath;

    private RequestRouter(
            Configuration configuration, PersistentMap<String, GlobIndex<Selector>> selectorsByHostAndPath) {
        this.configuration = configuration;
        this.selectorsByHostAndPath = selectorsByHostAndPath;
    }

    /**
     * Creates a router by indexing all selectors of a configuration.
     *
     * @param configuration the configuration to route by
     * @return the router
     */
    public static RequestRouter of(Configuration configuration) {
        return EMPTY.withConfiguration(configuration);
    }

    /**
     * Returns a router for another configuration. Selectors that both configurations share are not indexed again, so
     * the cost of an update depends on the size of the change.
     *
     * @param newConfiguration the configuration to route by
     * @return the router
     */
    public RequestRouter withConfiguration(Configuration newConfiguration) {
        IndexBuilder indexBuilder = new IndexBuilder(selectorsByHostAndPath);
        configuration
                .entitiesOfKind(EntityKind.SELECTOR)
                .forEachDifference(newConfiguration.entitiesOfKind(EntityKind.SELECTOR), (name, before, after) -> {
                    if (before != null) {
                        indexBuilder.remove((Selector) before.declaration());
                    }
                    if (after != null) {
                        indexBuilder.add((Selector) after.declaration());
                    }
                });
        return new RequestRouter(newConfiguration, indexBuilder.selectorsByHostAndPath);
    }

    /**
     * Returns the configuration that the router was built from.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Finds the selector of a request. Among the matching selectors, the one with the highest priority is returned; at
     * equal priority, one that names the host before one for all hosts; then, the one with the longest path. Among
     * equal ones, one is drawn at random in proportion to the weights.
     *
     * @param host the value of the {@code Host} header in any case, empty if there is none
     * @param method the HTTP method in upper case, not null
     * @param path the path of the request target; a query is ignored
     * @param customer the customer of the request, matched against the customer patterns; not null
     * @param random the source of random numbers for the draw by weight
     * @return the selector, or empty if none matches
     */
    public Optional<Selector> route(String host, String method, String path, String customer, RandomGenerator random) {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(customer, "customer");
        String normalized = RequestPaths.normalize(path);
        MatchCollector matchCollector = new MatchCollector(method, customer);
        if (!host.isEmpty()) {
            collectMatches(host.toLowerCase(Locale.ROOT), normalized, matchCollector);
        }
        collectMatches("", normalized, matchCollector);
        return matchCollector.drawByWeight(random);
    }

    /**
     * Finds the selector of a request without a host; only selectors for all hosts match.
     *
     * @param method the HTTP method in upper case, not null
     * @param path the path of the request target; a query is ignored
     * @param customer the customer of the request, matched against the customer patterns; not null
     * @param random the source of random numbers for the draw by weight
     * @return the selector, or empty if none matches
     */
    public Optional<Selector> route(String method, String path, String customer, RandomGenerator random) {
        return route("", method, path, customer, random);
    }

    /** Finds a selector of a higher priority that matches all requests of the given one and makes it unreachable. */
    Optional<Selector> coveringSelector(Selector selector) {
        return coveringSelector(selector.host(), selector)
                .or(() -> selector.host().isEmpty() ? Optional.empty() : coveringSelector("", selector));
    }

    private Optional<Selector> coveringSelector(String host, Selector selector) {
        GlobPattern customerPattern = new GlobPattern(selector.customerPattern());
        List<Selector> coveringSelectors = new ArrayList<>(1);
        for (int prefixLength = selector.path().length();
                prefixLength > 0 && coveringSelectors.isEmpty();
                prefixLength--) {
            if (isBoundary(selector.path(), prefixLength)) {
                GlobIndex<Selector> index =
                        selectorsByHostAndPath.get(key(host, selector.path().substring(0, prefixLength)));
                if (index != null) {
                    index.forEachCoveringCandidateList(customerPattern, entries -> {
                        for (GlobIndex.Entry<Selector> entry : entries) {
                            if (entry.value().priority() <= selector.priority()) {
                                break;
                            }
                            if (entry.pattern().covers(customerPattern) && coversMethods(entry.value(), selector)) {
                                coveringSelectors.add(entry.value());
                            }
                        }
                    });
                }
            }
        }
        return coveringSelectors.stream().findFirst();
    }

    private void collectMatches(String host, String path, MatchCollector matchCollector) {
        for (int prefixLength = Math.min(path.length(), MAXIMUM_PATH_CHARACTERS); prefixLength > 0; prefixLength--) {
            if (isBoundary(path, prefixLength)) {
                GlobIndex<Selector> index = selectorsByHostAndPath.get(key(host, path.substring(0, prefixLength)));
                if (index != null) {
                    // Any path of a selector that names the host ranks above all paths of selectors for all hosts.
                    matchCollector.pathRank = host.isEmpty() ? prefixLength : MAXIMUM_PATH_CHARACTERS + prefixLength;
                    index.forEachCandidateList(matchCollector.customer, matchCollector::addMatching);
                }
            }
        }
    }

    private static String key(String host, String path) {
        return host + KEY_SEPARATOR + path;
    }

    private static boolean coversMethods(Selector covering, Selector covered) {
        return covering.methods().isEmpty()
                || !covered.methods().isEmpty() && covering.methods().containsAll(covered.methods());
    }

    /** Tells whether a prefix of a path, given by its length in characters, ends at a segment boundary. */
    private static boolean isBoundary(String path, int prefixLength) {
        return prefixLength == path.length()
                || path.charAt(prefixLength) == '/'
                || path.charAt(prefixLength - 1) == '/';
    }

    /** Applies changes to an index by replacing its reference to an immutable map. */
    private static final class IndexBuilder {
        private PersistentMap<String, GlobIndex<Selector>> selectorsByHostAndPath;

        IndexBuilder(PersistentMap<String, GlobIndex<Selector>> selectorsByHostAndPath) {
            this.selectorsByHostAndPath = selectorsByHostAndPath;
        }

        void add(Selector selector) {
            String key = key(selector.host(), selector.path());
            GlobIndex<Selector> existing = selectorsByHostAndPath.getOrDefault(key, EMPTY_INDEX);
            selectorsByHostAndPath =
                    selectorsByHostAndPath.with(key, existing.with(selector.customerPattern(), selector));
        }

        void remove(Selector selector) {
            String key = key(selector.host(), selector.path());
            GlobIndex<Selector> remaining =
                    selectorsByHostAndPath.get(key).without(selector.customerPattern(), selector);
            selectorsByHostAndPath = remaining.isEmpty()
                    ? selectorsByHostAndPath.without(key)
                    : selectorsByHostAndPath.with(key, remaining);
        }
    }

    /**
     * Collects the selectors of the highest precedence for one request. Paths are added in descending order of rank;
     * the entries of a list are in descending order of priority.
     */
    private static final class MatchCollector {
        private final String method;
        private final String customer;
        private final List<Selector> bestSelectors = new ArrayList<>(2);
        /** The length of the current path in characters, increased for selectors that name the host. */
        private int pathRank;

        private int bestPathRank;

        MatchCollector(String method, String customer) {
            this.method = method;
            this.customer = customer;
        }

        void addMatching(List<GlobIndex.Entry<Selector>> entries) {
            for (GlobIndex.Entry<Selector> entry : entries) {
                Selector selector = entry.value();
                int priorityDifference = bestSelectors.isEmpty()
                        ? 1
                        : Integer.compare(
                                selector.priority(), bestSelectors.getFirst().priority());
                if (priorityDifference < 0 || priorityDifference == 0 && pathRank < bestPathRank) {
                    return;
                }
                if (selector.matchesMethod(method) && entry.pattern().matches(customer)) {
                    if (priorityDifference > 0) {
                        bestSelectors.clear();
                        bestPathRank = pathRank;
                    }
                    bestSelectors.add(selector);
                }
            }
        }

        Optional<Selector> drawByWeight(RandomGenerator random) {
            if (bestSelectors.size() <= 1) {
                return bestSelectors.stream().findFirst();
            }
            long totalWeight = 0;
            for (Selector selector : bestSelectors) {
                totalWeight += selector.weight();
            }
            long remainingWeight = random.nextLong(totalWeight);
            for (Selector selector : bestSelectors) {
                remainingWeight -= selector.weight();
                if (remainingWeight < 0) {
                    return Optional.of(selector);
                }
            }
            throw new IllegalStateException("random number is not below the sum of the weights");
        }
    }
}
