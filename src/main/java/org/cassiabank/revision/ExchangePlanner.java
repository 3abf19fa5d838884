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
 * Decides whether a daemon watches the store and with which peers it exchanges revisions. Instances are immutable.
 */
public final class ExchangePlanner {
    private static final String WATCH_KEY = "cassiabank/watch";
    private static final int WATCHERS_PER_DOMAIN = 2;
    private static final int MAXIMUM_PUSH_TARGETS = 3;
    private static final long ISOLATION_MILLIS = 2_000;
    private static final long MINIMUM_CHECK_DELAY_MILLIS = 1_000;
    private static final long MAXIMUM_CHECK_DELAY_MILLIS = 2_000;

    private final String name;
    private final String qualifiedDomain;
    private final List<Instance> peers;
    private final boolean watcher;
    /** The watchers of the failure domain other than this daemon. */
    private final List<Instance> otherWatchers;

    private ExchangePlanner(String name, String qualifiedDomain, List<Instance> peers, List<Instance> watchers) {
        this.name = name;
        this.qualifiedDomain = qualifiedDomain;
        this.peers = peers;
        this.watcher = watchers.stream().anyMatch(proxy -> proxy.name().equals(name));
        this.otherWatchers =
                watchers.stream().filter(proxy -> !proxy.name().equals(name)).toList();
    }

    /**
     * Creates the plan of one daemon from the list of instances.
     *
     * @param self the daemon; it need not be in the list yet
     * @param instances the platform's list; its live proxies other than the daemon are the peers
     * @return the plan
     */
    public static ExchangePlanner of(Instance self, InstanceList instances) {
        Objects.requireNonNull(self, "self");
        String qualifiedDomain = qualifiedDomainOf(self);
        List<Instance> peers = new ArrayList<>();
        List<Instance> domainProxies = new ArrayList<>(List.of(self));
        for (Instance proxy : instances.instancesWithRole(InstanceRole.PROXY)) {
            if (proxy.isLive() && !proxy.name().equals(self.name())) {
                peers.add(proxy);
                if (qualifiedDomainOf(proxy).equals(qualifiedDomain)) {
                    domainProxies.add(proxy);
                }
            }
        }
        List<Instance> watchers = RendezvousHash.order(WATCH_KEY, domainProxies).stream()
                .limit(WATCHERS_PER_DOMAIN)
                .toList();
        return new ExchangePlanner(self.name(), qualifiedDomain, List.copyOf(peers), watchers);
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
     * Returns the watchers of the daemon's failure domain other than the daemon itself.
     *
     * @return at most two daemons, in an order that all daemons of the failure domain share
     */
    public List<Instance> otherWatchers() {
        return otherWatchers;
    }

    /**
     * Selects at random the peers to which a newly received change is pushed.
     *
     * @param random the source of random numbers
     * @return at most three peers, one of them in another failure domain if there is one
     */
    public List<Instance> pushTargets(RandomGenerator random) {
        List<Instance> shuffled = new ArrayList<>(peers);
        Collections.shuffle(shuffled, Random.from(random));
        List<Instance> targets = new ArrayList<>();
        shuffled.stream()
                .filter(peer -> !qualifiedDomainOf(peer).equals(qualifiedDomain))
                .findFirst()
                .ifPresent(targets::add);
        for (Instance peer : shuffled) {
            if (targets.size() < MAXIMUM_PUSH_TARGETS && !targets.contains(peer)) {
                targets.add(peer);
            }
        }
        return List.copyOf(targets);
    }

    /**
     * Selects at random the peer of the next periodic exchange.
     *
     * @param random the source of random numbers
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
     * @return true if 2 s or more have passed since the last exchange
     */
    public static boolean isIsolated(long lastExchangeMillis, long nowMillis) {
        return nowMillis - lastExchangeMillis >= ISOLATION_MILLIS;
    }

    /**
     * Returns a random time until an isolated daemon checks the store again, so that the calls of many daemons are
     * spread over time.
     *
     * @param random the source of random numbers
     * @return the time in milliseconds, from 1,000 to 2,000
     */
    public static long nextCheckDelayMillis(RandomGenerator random) {
        return random.nextLong(MINIMUM_CHECK_DELAY_MILLIS, MAXIMUM_CHECK_DELAY_MILLIS + 1);
    }

    @Override
    public String toString() {
        return "ExchangePlanner[" + name + ", " + peers.size() + " peers, " + (watcher ? "watcher" : "no watcher")
                + "]";
    }

    /** Returns the failure domain with its region, because different regions may use the same names. */
    private static String qualifiedDomainOf(Instance instance) {
        return instance.region() + "/" + instance.failureDomain();
    }
}
