package org.cassiabank.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cassiabank.kernel.CassiabankException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against scenario files whose phases or steps are read with wrong values, and against errors that are ignored
 * or reported one at a time instead of together, with the key or line they belong to.
 */
class ScenarioTest {
    @TempDir
    private Path directory;

    @Test
    void phasesAndStepsAreReadFromToml() throws IOException {
        Scenario scenario = read("""
                work-millis = 10

                [[phase]]
                name = "calm"
                millis = 1000
                rate = 50
                mix = { short = 0.9, order = 0.1 }

                [[phase]]
                name = "crest"
                millis = 2000
                rate = 500
                mix = { long = 1 }

                [[step]]
                at-millis = 1500
                member = "kitchen-1"
                faults = '{"fail": 1}'

                [[step]]
                at-millis = 1600
                member = "proxy-1"
                signal = "STOP"
                """);
        assertThat(scenario.toPhases()).extracting(Phase::name).containsExactly("calm", "crest");
        assertThat(scenario.toPhases().get(1).mix().getFirst().kind()).isEqualTo(RequestKind.longRead(1_000));
        assertThat(scenario.steps().get(0).faults()).isEqualTo("{\"fail\": 1}");
        assertThat(scenario.steps().get(1).signal()).isEqualTo("STOP");
    }

    @Test
    void allInvalidEntriesAreReportedTogether() {
        assertThatThrownBy(() -> read("""
                        work-millis = 10

                        [[phase]]
                        millis = 0
                        rate = 50
                        mix = { quick = 1 }

                        [[step]]
                        at-millis = 1500
                        member = "kitchen-1"
                        """))
                .isInstanceOfSatisfying(CassiabankException.class, exception -> assertThat(exception.findings())
                        .extracting(finding -> finding.key())
                        .containsExactlyInAnyOrder("phase[0]", "phase[0].mix.quick", "step[0]"));
    }

    @Test
    void unknownKeysAreReportedByName() {
        assertThatThrownBy(() -> read("work-millis = 10\nrte = 5\n"))
                .isInstanceOfSatisfying(CassiabankException.class, exception -> assertThat(exception.findings())
                        .extracting(finding -> finding.key())
                        .containsExactly("rte"));
    }

    @Test
    void syntaxErrorsAreReportedWithTheirLine() {
        assertThatThrownBy(() -> read("work-millis = 10\nrate = @\n"))
                .isInstanceOf(CassiabankException.class)
                .hasMessageContaining("scenario.toml:2");
    }

    private Scenario read(String toml) throws IOException {
        return Scenario.read(Files.writeString(directory.resolve("scenario.toml"), toml));
    }
}
