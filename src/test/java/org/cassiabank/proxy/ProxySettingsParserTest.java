package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Finding;
import org.junit.jupiter.api.Test;

/** Guards against errors in the settings that are reported one at a time, without their line number, or not at all. */
class ProxySettingsParserTest {
    private static final String VALID = """
            name = "proxy-1"
            region = "region-1"
            failure-domain = "domain-1"
            callers-address = "127.0.0.1:8080"
            peer-address = "127.0.0.1:8081"
            admin-address = "127.0.0.1:8082"
            store = "http://127.0.0.1:8500"
            """;

    @Test
    void validSettingsAreRead() {
        ProxySettings settings = ProxySettingsParser.parse("a.toml", VALID + "scheduling = \"independent\"\n");
        assertThat(settings.peerAddress()).isEqualTo(new HostAndPort("127.0.0.1", 8_081));
        assertThat(settings.scheduling()).isEqualTo(SchedulingMode.INDEPENDENT);
        assertThat(settings.limits()).isEqualTo(CallerLimits.defaults());
    }

    @Test
    void onlyABandwidthBelowTheLimitMakesLinksNarrow() {
        assertThat(ProxySettingsParser.parse("a.toml", VALID).hasNarrowLinks()).isFalse();
        assertThat(withBandwidth("\"\"").hasNarrowLinks()).isFalse();
        assertThat(withBandwidth("\"7.5\"").hasNarrowLinks()).isTrue();
        assertThat(withBandwidth("500").hasNarrowLinks()).isFalse();
        assertThat(findingsOf(VALID + "link-megabits-per-second = 0\n"))
                .extracting(Finding::key)
                .containsExactly("link-megabits-per-second");
    }

    @Test
    void theEnvironmentNamesTheBandwidthOnlyWhereTheFileNamesNone() {
        ProxySettings settings = ProxySettingsParser.parse("a.toml", VALID);
        assertThat(ProxySettingsParser.withBandwidthOfEnvironment(settings, "7.5")
                        .hasNarrowLinks())
                .isTrue();
        assertThat(ProxySettingsParser.withBandwidthOfEnvironment(settings, "")).isEqualTo(settings);
        ProxySettings wide = withBandwidth("1000");
        assertThat(ProxySettingsParser.withBandwidthOfEnvironment(wide, "7.5")).isEqualTo(wide);
        assertThatThrownBy(() -> ProxySettingsParser.withBandwidthOfEnvironment(settings, "fast"))
                .hasMessageContaining("CASSIABANK_LINK_MEGABITS_PER_SECOND");
    }

    private static ProxySettings withBandwidth(String value) {
        return ProxySettingsParser.parse("a.toml", VALID + "link-megabits-per-second = " + value + "\n");
    }

    @Test
    void allFindingsAreReportedTogetherWithTheirLineNumbers() {
        String text = VALID.replace("name = \"proxy-1\"", "name = \"\"")
                        .replace("127.0.0.1:8080", "127.0.0.1:80800")
                        .replace("region = \"region-1\"\n", "")
                + "scheduling = \"best\"\nidle-millis = -1\ndrain-milis = 5\nseparate-long-work = [1]\n"
                + "peer-tls-key = \"/nowhere/key\"\n";
        List<Finding> findings = findingsOf(text);
        assertThat(findings)
                .extracting(Finding::key)
                .containsExactlyInAnyOrder(
                        "name",
                        "region",
                        "callers-address",
                        "scheduling",
                        "separate-long-work",
                        "idle-millis",
                        "peer-tls-key",
                        "drain-milis");
        assertThat(findings).anySatisfy(finding -> {
            assertThat(finding.key()).isEqualTo("scheduling");
            assertThat(finding.line()).hasValue(7);
            assertThat(finding.toString()).startsWith("a.toml:7: scheduling: expected 'owner'");
        });
    }

    @Test
    void textThatIsNotTomlIsReportedWithItsLineNumber() {
        assertThat(findingsOf("name = \"a\"\nregion = \n"))
                .singleElement()
                .satisfies(finding -> assertThat(finding.line()).hasValue(2));
    }

    private static List<Finding> findingsOf(String text) {
        return catchThrowableOfType(CassiabankException.class, () -> ProxySettingsParser.parse("a.toml", text))
                .findings();
    }
}
