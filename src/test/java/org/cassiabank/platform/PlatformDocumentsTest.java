package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.ConnectionLimits;
import org.cassiabank.declaration.RequestLimits;
import org.cassiabank.declaration.RequestRouter;
import org.cassiabank.declaration.Selector;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.PlatformAdapters;
import org.cassiabank.source.QuotaBoundSettings;
import org.cassiabank.source.RetryBudgetSettings;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreRevision;
import org.cassiabank.source.VersionedConfiguration;
import org.junit.jupiter.api.Test;

/**
 * Guards against fields of the platform's documents that are parsed with another meaning or unit, and against malformed
 * entries, which other writers can put under the keys of servers.
 */
class PlatformDocumentsTest {
    private static final String CONFIGURATION = """
            {"version":"0000001f","base_version":"0000000c","resources":[
              {"resource_type":"routes","metadata":{"name":"orders"},"spec":{"host":"Shop.example","prefix":"/o/",
                "kind":"non_idempotent","timeout":"1.5s","target_latency":"600ms","priority":1,"service":"desk",
                "max_attempts":2}},
              {"resource_type":"routes","metadata":{"name":"menu"},"spec":{"host":"shop.example","prefix":"/m/",
                "kind":"idempotent","timeout":"1200ms","target_latency":"600ms","priority":2,
                "weighted_clusters":[{"service":"blue","weight":90},{"service":"green","weight":10},
                  {"service":"off","weight":0}],"max_attempts":3}},
              {"resource_type":"services","metadata":{"name":"desk"},"spec":{"health_check_path":"/h"}},
              {"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,
                "header_timeout":"3000ms","idle_timeout":"15s"}},
              {"resource_type":"of-another-time","metadata":{"name":"x"},"spec":{}}]}
            """;
    private static final String SERVER_DOCUMENT = """
            {"address":"10.0.0.9:8080","born":1767225600000,
             "info":{"service":"desk","version":"v2","zone":"north","slots":2},
             "status":{"state":"ready","sequence":4,"warmup_left":"0ms"}}
            """;

    private final PlatformAdapter adapter = PlatformAdapters.forName("kv");

    @Test
    void routesBecomeSelectorsWithTheirLimits() {
        VersionedConfiguration versionedConfiguration = adapter.parseConfiguration(entry("op/config", CONFIGURATION));
        assertThat(versionedConfiguration.revision()).isEqualTo(0x1f);
        Configuration configuration = Configuration.empty()
                .withEntities(versionedConfiguration.revision(), versionedConfiguration.declarations());
        Selector orders = RequestRouter.of(configuration)
                .route("shop.example", "POST", "/o/17?x=1", "caller", new Random(1))
                .orElseThrow();
        assertThat(orders.service()).isEqualTo("desk");
        assertThat(orders.repeatable()).isFalse();
        assertThat(orders.limits()).isEqualTo(new RequestLimits(1_500, 600, 2, 1));
        assertThat(configuration.selectors()).extracting(Selector::name).doesNotContain("menu.2");
    }

    /** A key of two customers would identify either of them; the configuration in force has to stay. */
    @Test
    void findingsOfKeysThatTwoCustomersHoldOrThatAreNotReadableDoNotShowThem() {
        String document = """
                {"version":"2","resources":[
                  {"resource_type":"tenants","metadata":{"name":"north"},"spec":{"api_keys":["k-north","k-both"]}},
                  {"resource_type":"tenants","metadata":{"name":"south"},"spec":{"api_keys":["%s"]}}]}
                """;
        assertThat(adapter.parseConfiguration(entry("op/config", document.formatted("k-south")))
                        .declarations())
                .hasSize(2);
        assertThatThrownBy(() -> adapter.parseConfiguration(entry("op/config", document.formatted("k-both"))))
                .isInstanceOf(CassiabankException.class)
                .hasMessageContainingAll("north", "south")
                .hasMessageNotContaining("k-both");
        assertThatThrownBy(() -> adapter.parseConfiguration(entry("op/config", "{\"api_keys\":[secret]}")))
                .hasMessageContaining("line 1")
                .hasMessageNotContaining("secret");
    }

    @Test
    void connectionLimitsAreReadFromTheOperatorConfiguration() {
        VersionedConfiguration versionedConfiguration = adapter.parseConfiguration(entry("op/config", CONFIGURATION));
        Configuration configuration = Configuration.empty()
                .withEntities(versionedConfiguration.revision(), versionedConfiguration.declarations());
        assertThat(configuration.connectionLimits()).contains(new ConnectionLimits(16_384, 67_108_864, 3_000, 15_000));
    }

    @Test
    void weightedServicesOfARouteReceiveTheirShares() {
        VersionedConfiguration versionedConfiguration = adapter.parseConfiguration(entry("op/config", CONFIGURATION));
        RequestRouter router = RequestRouter.of(Configuration.empty()
                .withEntities(versionedConfiguration.revision(), versionedConfiguration.declarations()));
        Random random = new Random(7);
        int blueRequests = 0;
        for (int request = 0; request < 1_000; request++) {
            Selector selector = router.route("shop.example", "GET", "/m/1", "caller", random)
                    .orElseThrow();
            blueRequests += selector.service().equals("blue") ? 1 : 0;
        }
        assertThat(blueRequests).isBetween(850, 950);
    }

    @Test
    void anInvalidConfigurationIsRejectedWithAllFindings() {
        String invalidConfiguration =
                CONFIGURATION.replace("\"1.5s\"", "\"soon\"").replace("\"prefix\":\"/m/\"", "\"prefix\":7");
        assertThatThrownBy(() -> adapter.parseConfiguration(entry("op/config", invalidConfiguration)))
                .isInstanceOf(CassiabankException.class)
                .hasMessageContaining("soon")
                .hasMessageContaining("prefix");
        assertThatThrownBy(() -> adapter.parseConfiguration(entry("op/config", "{\"version\":")))
                .isInstanceOf(CassiabankException.class);
    }

    @Test
    void aServerDocumentHoldsServiceSlotsStartTimeAndState() {
        Instance server = adapter.parseServer(entry("servers/i-1", SERVER_DOCUMENT), "region");
        assertThat(server.name()).isEqualTo("i-1");
        assertThat(server.address()).isEqualTo("10.0.0.9:8080");
        assertThat(server.labels()).isEqualTo(Map.of("service", "desk", "version", "v2"));
        assertThat(server.failureDomain()).isEqualTo("north");
        assertThat(server.slots()).isEqualTo(2);
        assertThat(server.incarnation()).isEqualTo(1_767_225_600_000L);
        assertThat(server.isLive()).isTrue();
        Instance draining =
                adapter.parseServer(entry("servers/i-1", SERVER_DOCUMENT.replace("ready", "draining")), "region");
        assertThat(draining.state()).isEqualTo(InstanceState.LEAVING);
    }

    @Test
    void malformedServerEntriesAreRejected() {
        List<String> documents = List.of(
                "",
                "[]",
                "\u0000\u0001",
                "{}",
                SERVER_DOCUMENT.replace("1767225600000", "\"today\""),
                SERVER_DOCUMENT.replace("\"slots\":2", "\"slots\":\"two\""),
                SERVER_DOCUMENT.replace("ready", "resting"),
                SERVER_DOCUMENT.replace("\"service\":\"desk\",", ""),
                SERVER_DOCUMENT.replace("10.0.0.9:8080", "nowhere"),
                SERVER_DOCUMENT.replace("\"zone\":\"north\"", "\"zone\":[]"));
        for (String document : documents) {
            assertThatThrownBy(() -> adapter.parseServer(entry("servers/i-1", document), "region"))
                    .as(document)
                    .isInstanceOf(CassiabankException.class);
        }
    }

    @Test
    void retryBudgetBoundsAreRead() {
        RetryBudgetSettings retryBudgetSettings =
                adapter.parseRetryBudget("grace=6s,retry_budget_ratio=0.2,budget_window=10s,budget_slack=56,new=1");
        assertThat(retryBudgetSettings).isEqualTo(new RetryBudgetSettings(0.2, 56, 10_000));
        assertThatThrownBy(() -> adapter.parseRetryBudget("budget_slack=56"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("retry_budget_ratio");
    }

    @Test
    void quotaBoundsAreReadOnlyIfAllAreNamed() {
        assertThat(adapter.parseQuotaBounds("grace=6s,quota_window=4s,quota_overage=0.2,quota_slack=10"))
                .contains(new QuotaBoundSettings(4_000, 0.2, 10));
        assertThat(adapter.parseQuotaBounds("grace=6s")).isEmpty();
        assertThatThrownBy(() -> adapter.parseQuotaBounds("quota_window=4s"))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("quota_overage");
    }

    @Test
    void anUnknownAdapterNameIsReportedWithTheKnownNames() {
        assertThatThrownBy(() -> PlatformAdapters.forName("other"))
                .isInstanceOf(CassiabankException.class)
                .hasMessageContaining("kv");
    }

    private static StoreEntry entry(String key, String value) {
        return new StoreEntry(key, value.getBytes(StandardCharsets.UTF_8), new StoreRevision(1, 7));
    }
}
