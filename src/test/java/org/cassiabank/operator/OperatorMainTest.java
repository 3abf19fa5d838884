package org.cassiabank.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cassiabank.revision.ChangeCommitter;
import org.cassiabank.revision.ChangeReader;
import org.cassiabank.revision.InMemoryChangeStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against wrong exit codes, doubled operations and findings without a place. */
class OperatorMainTest {
    private static final String SERVICE = "[service.\"menu.v1\"]\nslots = 2\nfloor = 1\ndeadline-millis = 100\n";
    private static final String LABEL = "[label.m]\ninstances = \"menu-*\"\nset = { service = \"menu.v1\" }\n";

    @TempDir
    private Path directory;

    private final InMemoryChangeStore store = new InMemoryChangeStore();
    private String output;
    private Path menu;

    @BeforeEach
    void writeFile() throws IOException {
        menu = file("menu.toml", SERVICE + LABEL + "[selector.\"a-b\"]\nservice = \"menu.v1\"\npath = \"/\"\n");
    }

    private Path file(String name, String content) throws IOException {
        return Files.writeString(directory.resolve(name), content);
    }

    /** Runs a command against the store; output and errors are collected together. */
    private int run(Object... words) {
        List<String> arguments = new ArrayList<>(List.of("--store", "http://store"));
        for (Object word : words) {
            arguments.add(word.toString());
        }
        return runWithoutStore(arguments.toArray(String[]::new));
    }

    private int runWithoutStore(String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int code = OperatorMain.run(arguments, uri -> store, stream, stream);
        output = bytes.toString(StandardCharsets.UTF_8).replace(directory + "/", "");
        return code;
    }

    @Test
    void whatIsShownCanBeAppliedAgain() throws IOException {
        assertThat(run("apply", menu, "--operation", "first")).isZero();
        assertThat(output).isEqualTo("operation first is committed at revision 1 with 3 edits\n");
        assertThat(run("show")).isZero();
        assertThat(output).startsWith("# revision 1\n").contains("[service.\"menu.v1\"]\nslots = 2\n");
        Path shown = file("shown.toml", output);
        assertThat(run("apply", shown)).isZero();
        assertThat(output).isEqualTo("nothing to change at revision 1\n");
        assertThat(run("delete", "selector", "a-b", "--operation", "second")).isZero();
        assertThat(run("show", "selector")).isZero();
        assertThat(output).isEqualTo("# revision 2\n");
    }

    @Test
    void findingsOfAllFilesCarryTheirPlaceAndNothingIsApplied() throws IOException {
        Path wrong = file("wrong.toml", "[service.x]\nslots = 0\n");
        Path twice = file("twice.toml", "\n" + SERVICE);
        assertThat(run("apply", menu, wrong, twice, "missing.toml")).isEqualTo(2);
        assertThat(output.lines().map(line -> line.replaceFirst("java.nio.*", "...")))
                .containsExactly(
                        "wrong.toml:1: service.x: missing key floor",
                        "wrong.toml:1: service.x: missing key deadline-millis",
                        "wrong.toml:2: service.x.slots: slots must be from 1 to 10000, but is 0",
                        "twice.toml:2: service.menu.v1: defined twice; first in menu.toml",
                        "missing.toml: cannot be read as UTF-8 text: ...");
        Path unknown = file("unknown.toml", "[selector.s]\npath = \"/\"\nservice = \"none\"\n");
        for (String command : List.of("check", "apply")) {
            assertThat(run(command, menu, unknown)).isEqualTo(2);
            assertThat(output).isEqualTo("unknown.toml:3: selector.s.service: unknown service \"none\"\n");
        }
        assertThat(ChangeCommitter.create(store).refresh().revision()).isZero();
        assertThat(run("apply", menu)).isZero();
        assertThat(run("delete", "service", "menu.v1")).isEqualTo(2);
        assertThat(output).contains("label.m.set.service: unknown service", "selector.a-b.service: unknown service");
    }

    @Test
    void anOperationWhoseAnswerWasLostCanBeRepeated() throws IOException {
        store.failAfterCreating(ChangeReader.changeKey(1));
        assertThat(run("apply", menu, "--operation", "id")).isEqualTo(4);
        assertThat(output).contains("operation id may have been accepted; repeat it with the same operation id");
        store.setAvailable(true);
        assertThat(run("delete", "selector", "a-b", "--operation", "other")).isZero();
        assertThat(run("apply", menu, "--operation", "id")).isZero();
        assertThat(output).isEqualTo("operation id was already committed at revision 1\n");
        assertThat(run("delete", "label", "m", "--operation", "id")).isEqualTo(2);
        assertThat(output).contains("operation id id was used for other edits at revision 1");
        assertThat(ChangeCommitter.create(store).refresh().revision()).isEqualTo(2);
    }

    @Test
    void anEntityThatChangedSinceTheFileWasMadeIsAConflict() throws IOException {
        run("apply", menu, "--operation", "first");
        run("apply", file("other.toml", SERVICE.replace("floor = 1", "floor = 2")), "--operation", "second");
        Path mine = file("mine.toml", SERVICE.replace("floor = 1", "floor = 3"));
        assertThat(run("apply", mine, "--base", 1, "--operation", "third")).isEqualTo(3);
        assertThat(output).contains("operation third", "operation second at revision 2 changed it since");
        assertThat(run("apply", mine, "--base", 2)).isZero();
    }

    @Test
    void wrongUsageAndOutagesHaveTheirExitCodes() {
        assertThat(runWithoutStore("--help")).isZero();
        assertThat(output).contains("apply FILE...", "--operation <String: ID>");
        assertThat(runWithoutStore("apply", menu.toString())).isEqualTo(2);
        assertThat(output).isEqualTo("cassiabankctl: apply needs --store URL\n");
        assertThat(runWithoutStore("check", menu.toString())).isZero();
        assertThat(run("frobnicate")).isEqualTo(2);
        assertThat(run("delete", "service", "none")).isEqualTo(2);
        assertThat(run("show", "--unknown")).isEqualTo(2);
        assertThat(run("status", "--proxy", "127.0.0.1:1")).isEqualTo(1);
        assertThat(output).startsWith("store: revision 0\n127.0.0.1:1: unknown, ");
        store.setAvailable(false);
        assertThat(run("show")).isEqualTo(4);
        assertThat(run("status")).isEqualTo(4);
    }
}
