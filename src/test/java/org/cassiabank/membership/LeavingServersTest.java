package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a leaving server that gets requests again because of an older list or a late response, and against a
 * new start of it that is held back.
 */
class LeavingServersTest {
    private static final int SERVERS = 4;
    private static final int STEPS = 400;

    /**
     * Plays announcements that arrive late and in any order, restarts, lapsed entries that come back, and lists of
     * former starts.
     */
    @Property(tries = 200)
    void anAnnouncementHoldsForItsStartAndForNoOther(@ForAll long seed) {
        Random random = new Random(seed);
        LeavingServers servers = LeavingServers.create();
        Set<ServerStart> announced = new HashSet<>();
        Deque<ServerStart> underWay = new ArrayDeque<>();
        Map<String, Long> incarnations = new HashMap<>();
        Map<String, Long> listedIncarnations = new HashMap<>();
        Map<ServerStart, Long> unlistedSince = new HashMap<>();
        long nowMillis = 0;
        for (int step = 0; step < STEPS; step++) {
            nowMillis += random.nextInt(2_000);
            String name = "server-" + random.nextInt(SERVERS);
            ServerStart current = new ServerStart(name, incarnations.getOrDefault(name, 1L));
            switch (random.nextInt(6)) {
                case 0 -> incarnations.put(name, current.incarnation() + 1);
                case 1 -> underWay.add(current);
                case 2 -> {
                    if (!underWay.isEmpty()) {
                        ServerStart late = random.nextBoolean() ? underWay.pollFirst() : underWay.pollLast();
                        servers.record(late, nowMillis);
                        announced.add(late);
                        unlistedSince.put(late, nowMillis);
                    }
                }
                case 3 -> listedIncarnations.put(name, current.incarnation());
                case 4 -> listedIncarnations.put(name, Math.max(1, current.incarnation() - 1));
                default -> listedIncarnations.remove(name);
            }
            long atMillis = nowMillis;
            servers.forgetFormer(start -> isListed(start, listedIncarnations), atMillis);
            announced.forEach(start -> {
                if (isListed(start, listedIncarnations)) {
                    unlistedSince.put(start, atMillis);
                }
            });
            announced.removeIf(start ->
                    atMillis - unlistedSince.getOrDefault(start, atMillis) > LeavingServers.UNLISTED_MEMORY_MILLIS);
            for (int number = 0; number < SERVERS; number++) {
                for (long incarnation = 1; incarnation <= STEPS; incarnation += 1 + random.nextInt(3)) {
                    ServerStart start = new ServerStart("server-" + number, incarnation);
                    assertThat(servers.isLeaving(start, atMillis))
                            .as("%s in step %d", start, step)
                            .isEqualTo(announced.contains(start));
                }
            }
        }
    }

    @Example
    void anAnnouncementOfAListedServerNeverEnds() {
        LeavingServers servers = LeavingServers.create();
        ServerStart start = new ServerStart("server", 5);
        assertThat(servers.record(start, 0)).isTrue();
        assertThat(servers.record(start, 10)).isFalse();
        for (long nowMillis = 0; nowMillis < 86_400_000; nowMillis += 600_000) {
            servers.forgetFormer(start::equals, nowMillis);
            assertThat(servers.isLeaving(start, nowMillis + 599_999)).isTrue();
        }
    }

    @Example
    void serversThatAreNoLongerListedAreForgotten() {
        LeavingServers servers = LeavingServers.create();
        servers.record(new ServerStart("server", 5), 0);
        servers.forgetFormer(start -> false, LeavingServers.UNLISTED_MEMORY_MILLIS);
        assertThat(servers.all()).hasSize(1);
        servers.forgetFormer(start -> false, LeavingServers.UNLISTED_MEMORY_MILLIS + 1);
        assertThat(servers.all()).isEmpty();
    }

    /** Without incarnations a server that has started again cannot be told from the one that left. */
    @Example
    void anAnnouncementOfAnUnknownStartEnds() {
        LeavingServers servers = LeavingServers.create();
        ServerStart start = new ServerStart("server", 0);
        servers.record(start, 0);
        assertThat(servers.isLeaving(start, LeavingServers.UNKNOWN_START_VALIDITY_MILLIS))
                .isTrue();
        assertThat(servers.isLeaving(start, LeavingServers.UNKNOWN_START_VALIDITY_MILLIS + 1))
                .isFalse();
    }

    private static boolean isListed(ServerStart start, Map<String, Long> listedIncarnations) {
        return listedIncarnations.getOrDefault(start.serverName(), 0L) == start.incarnation();
    }
}
