package org.cassiabank.revision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.RendezvousHash;

/**
 * Decides which daemons watch the store and with which peers a daemon exchanges revisions. Immutable.
 */
public final class ExchangePlanner {
    private static final String WATCH_KEY = "cassiabank/watch";
    private static final int WATCHERS_PER_DOMAIN = 2;
    private static final int PUSH_TARGETS = 3;
    private static final long SILENCE_MILLIS = 2_000;
    private static final long SHORTEST_CHECK_MILLIS = 1_000;
    private static final long LONGEST_CHECK_MILLIS = 2_000;

    private final String self;
    private final String domain;
    private final List<Instance> peers;
    private final boolean watcher;

    private ExchangePlanner(String self, String domain, List<Instance> peers, boolean watcher) {
        this.self = self;
        this.domain = domain;
        this.peers = peers;
        this.watcher = watcher;
    }

    /**
     * Creates the plan of one daemon.
     *
     * @param self the daemon; it need not be in the list yet
     * @param instances the platform's list
     * @return the plan
     */
    public static ExchangePlanner of(Instance self, InstanceList instances) {
        Objects.requireNonNull(self, "self");
        String domain = domainOf(self);
        List<Instance> peers = new ArrayList<>();
        List<Instance> neighbours = new ArrayList<>(List.of(self));
        for (Instance proxy : instances.instancesWithRole(InstanceRole.PROXY)) {
            if (proxy.isLive() && !proxy.name().equals(self.name())) {
                peers.add(proxy);
                if (domainOf(proxy).equals(domain)) {
                    neighbours.add(proxy);
                }
            }
        }
        boolean watcher = RendezvousHash.order(WATCH_KEY, neighbours).stream()
                .limit(WATCHERS_PER_DOMAIN)
                .anyMatch(proxy -> proxy.name().equals(self.name()));
        return new ExchangePlanner(self.name(), domain, List.copyOf(peers), watcher);
    }

    /**
     * Tells whether the daemon watches the store.
     *
     * @return true if it is one of the two watchers of its failure domain
     */
    public boolean isWatcher() {
        return watcher;
    }

    /**
     * Draws the peers to which a newly learned change is pushed.
     *
     * @param random the source of the draw
     * @return at most three peers, one of them in another failure domain if there is one
     */
    public List<Instance> pushTargets(RandomGenerator random) {
        List<Instance> shuffled = new ArrayList<>(peers);
        Collections.shuffle(shuffled, Random.from(random));
        List<Instance> targets = new ArrayList<>();
        shuffled.stream()
                .filter(peer -> !domainOf(peer).equals(domain))
                .findFirst()
                .ifPresent(targets::add);
        for (Instance peer : shuffled) {
            if (targets.size() < PUSH_TARGETS && !targets.contains(peer)) {
                targets.add(peer);
            }
        }
        return List.copyOf(targets);
    }

    /**
     * Draws the peer of the next regular exchange.
     *
     * @param random the source of the draw
     * @return a peer of any failure domain, or empty if there is none
     */
    public Optional<Instance> exchangePeer(RandomGenerator random) {
        return peers.isEmpty() ? Optional.empty() : Optional.of(peers.get(random.nextInt(peers.size())));
    }

    /**
     * Tells whether a daemon has to check the store itself because it has exchanged with no peer for 2 s.
     *
     * @param lastExchangeMillis the time of the last exchange in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return true if the daemon has to check the store
     */
    public static boolean isIsolated(long lastExchangeMillis, long nowMillis) {
        return nowMillis - lastExchangeMillis >= SILENCE_MILLIS;
    }

    /**
     * Draws the time until an isolated daemon checks the store again. The draw spreads the calls of many daemons.
     *
     * @param random the source of the draw
     * @return the time in milliseconds, from 1,000 to 2,000
     */
    public static long nextCheckDelayMillis(RandomGenerator random) {
        return random.nextLong(SHORTEST_CHECK_MILLIS, LONGEST_CHECK_MILLIS + 1);
    }

    @Override
    public String toString() {
        return "ExchangePlanner[" + self + ", " + peers.size() + " peers, " + (watcher ? "watcher" : "no watcher")
                + "]";
    }

    private static String domainOf(Instance instance) {
        return instance.region() + "/" + instance.failureDomain();
    }
}
