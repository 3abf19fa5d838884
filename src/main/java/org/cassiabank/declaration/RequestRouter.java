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
 * <p>Selectors are indexed by host and path and, below each path, by the pattern of callers, so that a request looks up
 * only the prefixes of its own path. A path prefix matches at segment boundaries: {@code /menu} matches {@code /menu}
 * and {@code /menu/today}, but not {@code /menus}.
 */
public final class RequestRouter {
    // Paths of selectors are at most this long, so longer prefixes of a request need not be looked up.
    private static final int LONGEST_PATH = 512;
    private static final Comparator<Selector> ORDER =
            Comparator.comparingInt(Selector::priority).reversed().thenComparing(Selector::name);
    private static final GlobIndex<Selector> EMPTY_INDEX = GlobIndex.empty(ORDER);
    private static final RequestRouter EMPTY = new RequestRouter(Configuration.empty(), PersistentMap.empty());

    private final Configuration configuration;
    /** By host followed by path; selectors for all hosts have an empty host. */
    private final PersistentMap<String, GlobIndex<Selector>> byHostAndPath;

    private RequestRouter(Configuration configuration, PersistentMap<String, GlobIndex<Selector>> byHostAndPath) {
        this.configuration = configuration;
        this.byHostAndPath = byHostAndPath;
    }

    /**
     * Builds a router.
     *
     * @param configuration the configuration
     * @return the router
     */
    public static RequestRouter of(Configuration configuration) {
        return EMPTY.withConfiguration(configuration);
    }

    /**
     * Returns a router for another configuration. Selectors that both configurations share are not indexed again, so
     * the cost of following a change depends on the size of the change.
     *
     * @param next the configuration to route by
     * @return the router
     */
    public RequestRouter withConfiguration(Configuration next) {
        Index index = new Index(byHostAndPath);
        configuration
                .ofKind(EntityKind.SELECTOR)
                .forEachDifference(next.ofKind(EntityKind.SELECTOR), (name, before, after) -> {
                    if (before != null) {
                        index.remove((Selector) before.declaration());
                    }
                    if (after != null) {
                        index.add((Selector) after.declaration());
                    }
                });
        return new RequestRouter(next, index.paths);
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
     * Finds the selector of a request: the matching one with the highest priority, among these one that names the host
     * before one for all hosts, then the one with the longest path, and among equal ones one drawn by weight.
     *
     * @param host the value of the {@code Host} header, empty if there is none
     * @param method the HTTP method
     * @param path the path of the request target; a query is ignored
     * @param caller the identity of the caller
     * @param random the source for the draw
     * @return the selector, or empty if none matches
     */
    public Optional<Selector> route(String host, String method, String path, String caller, RandomGenerator random) {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(caller, "caller");
        String normalized = RequestPaths.normalize(path);
        Match match = new Match(method, caller);
        if (!host.isEmpty()) {
            consider(host.toLowerCase(Locale.ROOT), normalized, match);
        }
        consider("", normalized, match);
        return match.draw(random);
    }

    /**
     * Finds the selector of a request that names no host.
     *
     * @param method the HTTP method
     * @param path the path of the request target; a query is ignored
     * @param caller the identity of the caller
     * @param random the source for the draw
     * @return the selector, or empty if none matches
     */
    public Optional<Selector> route(String method, String path, String caller, RandomGenerator random) {
        return route("", method, path, caller, random);
    }

    /** Finds a selector that is tried before the given one and matches all its requests. */
    Optional<Selector> coveringSelector(Selector selector) {
        return coveringSelector(selector.host(), selector)
                .or(() -> selector.host().isEmpty() ? Optional.empty() : coveringSelector("", selector));
    }

    private Optional<Selector> coveringSelector(String host, Selector selector) {
        GlobPattern callers = new GlobPattern(selector.customerPattern());
        List<Selector> found = new ArrayList<>(1);
        for (int end = selector.path().length(); end > 0 && found.isEmpty(); end--) {
            if (isBoundary(selector.path(), end)) {
                GlobIndex<Selector> index =
                        byHostAndPath.get(host + selector.path().substring(0, end));
                if (index != null) {
                    index.forEachCoveringList(callers, entries -> {
                        for (GlobIndex.Entry<Selector> entry : entries) {
                            if (entry.value().priority() <= selector.priority()) {
                                break;
                            }
                            if (entry.pattern().covers(callers) && coversMethods(entry.value(), selector)) {
                                found.add(entry.value());
                            }
                        }
                    });
                }
            }
        }
        return found.stream().findFirst();
    }

    private void consider(String host, String path, Match match) {
        for (int end = Math.min(path.length(), LONGEST_PATH); end > 0; end--) {
            if (isBoundary(path, end)) {
                GlobIndex<Selector> index = byHostAndPath.get(host + path.substring(0, end));
                if (index != null) {
                    // Any path of a named host counts as longer than all paths of selectors for all hosts.
                    match.length = host.isEmpty() ? end : LONGEST_PATH + end;
                    index.forEachList(match.caller, match::consider);
                }
            }
        }
    }

    private static boolean coversMethods(Selector covering, Selector covered) {
        return covering.methods().isEmpty()
                || !covered.methods().isEmpty() && covering.methods().containsAll(covered.methods());
    }

    /** Tells whether the text before the position is a whole path prefix. */
    private static boolean isBoundary(String path, int end) {
        return end == path.length() || path.charAt(end) == '/' || path.charAt(end - 1) == '/';
    }

    /** A changing reference to the immutable index. */
    private static final class Index {
        private PersistentMap<String, GlobIndex<Selector>> paths;

        Index(PersistentMap<String, GlobIndex<Selector>> paths) {
            this.paths = paths;
        }

        void add(Selector selector) {
            String key = selector.host() + selector.path();
            GlobIndex<Selector> present = paths.getOrDefault(key, EMPTY_INDEX);
            paths = paths.with(key, present.with(selector.customerPattern(), selector));
        }

        void remove(Selector selector) {
            String key = selector.host() + selector.path();
            GlobIndex<Selector> left = paths.get(key).without(selector.customerPattern(), selector);
            paths = left.isEmpty() ? paths.without(key) : paths.with(key, left);
        }
    }

    /** Collects the best selectors for one request; paths are considered from the longest to the shortest. */
    private static final class Match {
        private final String method;
        private final String caller;
        private final List<Selector> best = new ArrayList<>(2);
        private int length;
        private int bestLength;

        Match(String method, String caller) {
            this.method = method;
            this.caller = caller;
        }

        void consider(List<GlobIndex.Entry<Selector>> entries) {
            for (GlobIndex.Entry<Selector> entry : entries) {
                Selector selector = entry.value();
                int difference = best.isEmpty()
                        ? 1
                        : Integer.compare(selector.priority(), best.getFirst().priority());
                if (difference < 0 || difference == 0 && length < bestLength) {
                    return;
                }
                if (selector.matchesMethod(method) && entry.pattern().matches(caller)) {
                    if (difference > 0) {
                        best.clear();
                        bestLength = length;
                    }
                    best.add(selector);
                }
            }
        }

        Optional<Selector> draw(RandomGenerator random) {
            if (best.size() <= 1) {
                return best.stream().findFirst();
            }
            long total = 0;
            for (Selector selector : best) {
                total += selector.weight();
            }
            long drawn = random.nextLong(total);
            for (Selector selector : best) {
                drawn -= selector.weight();
                if (drawn < 0) {
                    return Optional.of(selector);
                }
            }
            throw new IllegalStateException("drawn number exceeds the sum of the weights");
        }
    }
}
