package org.cassiabank.declaration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against keys that identify the wrong customer, also after changes of the configuration. */
class CustomerKeysTest {
    private final Configuration twoCustomers = Configuration.empty()
            .withChanges(1, List.of(customer("north", 7, "n-1", "n-2"), customer("south", 3, "s-1")), List.of());

    @Test
    void aKeyIdentifiesItsCustomerUntilItIsWithdrawn() {
        CustomerKeys keys = CustomerKeys.of(twoCustomers);
        assertThat(holder(keys, "n-1")).isEqualTo("north");
        assertThat(holder(keys, "n-2")).isEqualTo("north");
        assertThat(holder(keys, "s-1")).isEqualTo("south");
        assertThat(holder(keys, "other")).isEqualTo("none");
        CustomerKeys changed = keys.withConfiguration(
                twoCustomers.withChanges(2, List.of(customer("north", 7, "n-2", "n-3")), List.of()));
        assertThat(holder(changed, "n-1")).isEqualTo("none");
        assertThat(holder(changed, "n-2")).isEqualTo("north");
        assertThat(holder(changed, "n-3")).isEqualTo("north");
        assertThat(holder(changed, "s-1")).isEqualTo("south");
        assertThat(holder(keys, "n-1")).as("the former configuration").isEqualTo("north");
    }

    @Test
    void aKeyThatMovesToAnotherCustomerIdentifiesOnlyThatOne() {
        CustomerKeys moved = CustomerKeys.of(twoCustomers)
                .withConfiguration(twoCustomers.withChanges(
                        2, List.of(customer("north", 7, "n-2"), customer("south", 3, "s-1", "n-1")), List.of()));
        assertThat(holder(moved, "n-1")).isEqualTo("south");
    }

    @Test
    void digestsThatBeginAlikeAreToldApart() {
        String beginning = "0123456789abcdef";
        String first = beginning + "0".repeat(48);
        String second = beginning + "1".repeat(48);
        Configuration configuration = Configuration.empty()
                .withChanges(1, List.of(ofDigests("north", first), ofDigests("south", second)), List.of());
        CustomerKeys keys = CustomerKeys.of(configuration);
        assertThat(keys.find(first)).get().extracting(CustomerDeclaration::name).isEqualTo("north");
        assertThat(keys.find(second))
                .get()
                .extracting(CustomerDeclaration::name)
                .isEqualTo("south");
        assertThat(keys.find(beginning + "2".repeat(48))).isEmpty();
        CustomerKeys withoutNorth = keys.withConfiguration(
                configuration.withChanges(2, List.of(), List.of(new EntityKey(EntityKind.CUSTOMER, "north"))));
        assertThat(withoutNorth.find(first)).isEmpty();
        assertThat(withoutNorth.find(second)).isPresent();
    }

    @Test
    void aKeyOfTwoCustomersIdentifiesNeitherAndIsAFinding() {
        Configuration shared = twoCustomers.withChanges(2, List.of(customer("south", 3, "n-1")), List.of());
        assertThat(holder(CustomerKeys.of(shared), "n-1")).isEqualTo("none");
        assertThat(ConfigurationValidator.validate("test", twoCustomers)).isEmpty();
        assertThat(ConfigurationValidator.validateChange("test", RequestRouter.of(twoCustomers), shared))
                .singleElement()
                .asString()
                .contains("north", "south")
                .doesNotContain("n-1", CustomerDeclaration.keyDigest("n-1"));
    }

    @Test
    void keysAreRequiredAsSoonAsOneCustomerIsDeclaredEvenWithoutAKey() {
        assertThat(CustomerKeys.of(Configuration.empty()).areRequired()).isFalse();
        CustomerKeys keys =
                CustomerKeys.of(Configuration.empty().withChanges(1, List.of(customer("north", 7)), List.of()));
        assertThat(keys.areRequired()).isTrue();
    }

    @Test
    void theLeastUrgentRankFollowsTheCustomers() {
        CustomerKeys keys = CustomerKeys.of(twoCustomers);
        assertThat(keys.leastUrgentRank()).isEqualTo(7);
        Configuration lower = twoCustomers.withChanges(2, List.of(customer("north", 1, "n-1")), List.of());
        assertThat(keys.withConfiguration(lower).leastUrgentRank()).isEqualTo(3);
        Configuration higher = twoCustomers.withChanges(2, List.of(customer("south", 9, "s-1")), List.of());
        assertThat(keys.withConfiguration(higher).leastUrgentRank()).isEqualTo(9);
    }

    private static String holder(CustomerKeys keys, String key) {
        return keys.find(CustomerDeclaration.keyDigest(key))
                .map(CustomerDeclaration::name)
                .orElse("none");
    }

    private static CustomerDeclaration customer(String name, int urgencyRank, String... keys) {
        return CustomerDeclaration.ofKeys(name, List.of(keys), OptionalInt.of(urgencyRank), 0, 0);
    }

    private static CustomerDeclaration ofDigests(String name, String... digests) {
        return new CustomerDeclaration(name, Set.of(digests), OptionalInt.empty(), 0, 0);
    }
}
