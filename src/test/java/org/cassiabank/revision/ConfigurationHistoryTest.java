package org.cassiabank.revision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.declaration.EntityKind;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.kernel.CassiabankException;

/**
 * Guards against a daemon that returns to an older configuration or gets stuck after a malformed change. This comes
 * about when changes and snapshots arrive repeatedly, out of order or damaged.
 */
class ConfigurationHistoryTest {
    private static final int CHANGES = 10;

    private final List<Change> changes = new ArrayList<>();
    private final List<byte[]> snapshots = new ArrayList<>();

    ConfigurationHistoryTest() {
        ConfigurationHistory original = ConfigurationHistory.create();
        for (int revision = 1; revision <= CHANGES; revision++) {
            Edit edit = ChangeCommitterTest.put("menu", revision, revision - 1);
            Change change = new Change(revision, "operation-" + revision, List.of(edit));
            assertThat(original.apply(change)).isTrue();
            changes.add(change);
            snapshots.add(original.encodeSnapshot());
        }
    }

    @Example
    void aRevisionThatOperatorsWriteAgainWithOtherEntitiesComesIntoForce() {
        ConfigurationHistory history = ConfigurationHistory.create();
        ServiceDeclaration menu = new ServiceDeclaration("menu", 2, 0, 1_000);
        ServiceDeclaration orders = new ServiceDeclaration("orders", 2, 0, 1_000);
        assertThat(history.installConfiguration(4, List.of(menu))).isTrue();
        assertThat(history.installConfiguration(4, List.of(menu))).isFalse();
        assertThat(history.installConfiguration(4, List.of(menu, orders))).isTrue();
        assertThat(history.configuration().service("orders")).contains(orders);
        assertThat(history.installConfiguration(4, List.of(orders))).isTrue();
        assertThat(history.configuration().service("menu")).isEmpty();
        assertThat(history.installConfiguration(3, List.of(menu))).isFalse();
    }

    @Property(tries = 300)
    void changesAndSnapshotsInAnyOrderNeverRestoreAnOlderRevision(
            @ForAll @Size(max = 60) List<@IntRange(max = 19) Integer> arrivals) {
        ConfigurationHistory history = ConfigurationHistory.create();
        for (int arrival : arrivals) {
            long revisionBefore = history.configuration().revision();
            boolean isChange = arrival < CHANGES;
            int position = arrival % CHANGES;
            boolean applied =
                    isChange ? history.apply(changes.get(position)) : history.installSnapshot(snapshots.get(position));
            boolean expected = isChange ? position + 1 == revisionBefore + 1 : position + 1 > revisionBefore;
            assertThat(applied).isEqualTo(expected);
            long revisionAfter = history.configuration().revision();
            assertThat(revisionAfter).isEqualTo(expected ? position + 1 : revisionBefore);
            assertThat(history.configuration().service("menu").map(service -> (long) service.slotsPerServer()))
                    .isEqualTo(revisionAfter == 0 ? Optional.empty() : Optional.of(revisionAfter));
            history.changesSince(position).ifPresent(missing -> assertThat(missing)
                    .isEqualTo(revisionAfter <= position ? List.of() : changes.subList(position, (int) revisionAfter)));
        }
    }

    @Example
    void theNewest512ChangesAreKept() {
        ConfigurationHistory history = ConfigurationHistory.create();
        for (int revision = 1; revision <= 600; revision++) {
            history.apply(new Change(
                    revision, "o" + revision, List.of(ChangeCommitterTest.put("menu", 1 + revision, revision - 1))));
        }
        assertThat(history.changesSince(87)).isEmpty();
        assertThat(history.changesSince(88))
                .hasValueSatisfying(missing -> assertThat(missing).hasSize(512));
    }

    @Example
    void aChangeThatDoesNotFitLeavesTheConfigurationInForce() {
        ConfigurationHistory history = ConfigurationHistory.create();
        history.apply(changes.getFirst());
        Configuration inForce = history.configuration();
        Change wrong = new Change(2, "wrong", List.of(new DeleteEdit(new EntityKey(EntityKind.LABEL, "x"), 1)));
        assertThatThrownBy(() -> history.apply(wrong))
                .hasMessage("change 2 of operation wrong edits label.x as of revision 1,"
                        + " but it was last changed at revision 0");
        byte[] damaged = snapshots.getLast().clone();
        damaged[damaged.length - 6] ^= 1;
        assertThatThrownBy(() -> history.installSnapshot(damaged)).hasMessageContaining("damaged snapshot");
        assertThat(history.configuration()).isSameAs(inForce);
        assertThat(history.apply(changes.get(1))).isTrue();
    }

    @Example
    void changesKeepAllFieldsWhenWrittenAndRead() {
        Selector selector = Selector.forAllHosts(
                "s", "menu", Set.of("GET", "PUT"), "/a", "vip-*", Map.of("t", "1"), 7, true, CostHint.LONG, -3);
        Change change = new Change(
                4,
                "id",
                List.of(
                        new PutEdit(selector, 2),
                        new PutEdit(new LabelRule("l", "menu-?", Map.of("service", "menu")), 0),
                        ChangeCommitterTest.put("menu", 2, 1),
                        new DeleteEdit(new EntityKey(EntityKind.LABEL, "x"), 3)));
        assertThat(Change.fromDocument(change.toDocument())).isEqualTo(change);
    }

    @Example
    void allFaultsOfADocumentAreReportedWithTheirKeys() {
        String document = """
                {"revision": "2", "operation": "o", "extra": 1, "edits": [
                  {"action": "drop", "kind": "service", "name": "a", "read-revision": 0},
                  {"action": "put", "kind": "service", "name": "a", "read-revision": 0,
                   "declaration": {"slots": 0, "floor": 1}},
                  {"action": "delete", "kind": "label", "name": "a", "read-revision": 0}]}""";
        assertThatThrownBy(() -> Change.fromDocument(document.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOfSatisfying(CassiabankException.class, e -> assertThat(e.findings())
                        .extracting(finding -> finding.key() + ": " + finding.message())
                        .containsExactly(
                                "extra: unknown key",
                                "revision: expected an integer",
                                "edits[0].action: expected put or delete",
                                "edits[1].declaration.slots: slots must be from 1 to 10000, but is 0",
                                "edits[1].declaration: missing key deadline-millis",
                                "edits[2]: an entity that does not exist cannot be deleted: label.a"));
    }
}
