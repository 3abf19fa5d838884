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

/**
 * Guards against wrong exit codes, against operations that are committed twice when a command whose response was lost
 * is repeated, and against findings without file and line.
 */
class OperatorMainTest {
    private static final String SERVICE = "[service.\"menu.v1\"]\nslots = 2\nfloor = 1\ndeadline-millis = 100\n";
    private static final String LABEL = "[label.m]\ninstances = \"menu-*\"\nset = { service = \"menu.v1\" }\n";

    @TempDir
    private Path directory;

    private final InMemoryChangeStore store = new InMemoryChangeStore();
    private String output;
    private Path menuFile;

    @BeforeEach
    void writeMenuFile() throws IOException {
        menuFile =
                writeFile("menu.toml", SERVICE + LABEL + "[selector.\"a-b\"]\nservice = \"menu.v1\"\npath = \"/\"\n");
    }

    private Path writeFile(String name, String content) throws IOException {
        return Files.writeString(directory.resolve(name), content);
    }

    /** Runs a command with the store; results and errors are both in the output. */
    private int runWithStore(Object... words) {
        List<String> arguments = new ArrayList<>(List.of("--store", "http://store"));
        for (Object word : words) {
            arguments.add(word.toString());
        }
        return run(arguments.toArray(String[]::new));
    }

    private int run(String... arguments) {
        ByteArrayOutputStream outputBytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(outputBytes, true, StandardCharsets.UTF_8);
        int exitCode = OperatorMain.run(arguments, uri -> store, stream, stream);
        output = outputBytes.toString(StandardCharsets.UTF_8).replace(directory + "/", "");
        return exitCode;
    }

    @Test
    void theOutputOfShowCanBeAppliedAgain() throws IOException {
        assertThat(runWithStore("apply", menuFile, "--operation", "first")).isZero();
        assertThat(output).isEqualTo("operation first is committed at revision 1 with 3 edits\n");
        assertThat(runWithStore("show")).isZero();
        assertThat(output).startsWith("# revision 1\n").contains("[service.\"menu.v1\"]\nslots = 2\n");
        Path shownFile = writeFile("shown.toml", output);
        assertThat(runWithStore("apply", shownFile)).isZero();
        assertThat(output).isEqualTo("nothing to change at revision 1\n");
        assertThat(runWithStore("delete", "selector", "a-b", "--operation", "second"))
                .isZero();
        assertThat(runWithStore("show", "selector")).isZero();
        assertThat(output).isEqualTo("# revision 2\n");
    }

    @Test
    void findingsOfAllFilesNameTheirFileAndLineAndNothingIsApplied() throws IOException {
        Path invalidFile = writeFile("wrong.toml", "[service.x]\nslots = 0\n");
        Path duplicateFile = writeFile("twice.toml", "\n" + SERVICE);
        assertThat(runWithStore("apply", menuFile, invalidFile, duplicateFile, "missing.toml"))
                .isEqualTo(2);
        assertThat(output.lines().map(line -> line.replaceFirst("java.nio.*", "...")))
                .containsExactly(
                        "wrong.toml:1: service.x: missing key floor",
                        "wrong.toml:1: service.x: missing key deadline-millis",
                        "wrong.toml:2: service.x.slots: slots must be from 1 to 10000, but is 0",
                        "twice.toml:2: service.menu.v1: defined twice; first in menu.toml",
                        "missing.toml: cannot be read as UTF-8 text: ...");
        Path unknownServiceFile = writeFile("unknown.toml", "[selector.s]\npath = \"/\"\nservice = \"none\"\n");
        for (String command : List.of("check", "apply")) {
            assertThat(runWithStore(command, menuFile, unknownServiceFile)).isEqualTo(2);
            assertThat(output).isEqualTo("unknown.toml:3: selector.s.service: unknown service \"none\"\n");
        }
        assertThat(ChangeCommitter.create(store).refresh().revision()).isZero();
        assertThat(runWithStore("apply", menuFile)).isZero();
        assertThat(runWithStore("delete", "service", "menu.v1")).isEqualTo(2);
        assertThat(output).contains("label.m.set.service: unknown service", "selector.a-b.service: unknown service");
    }

    @Test
    void anOperationWhoseResponseWasLostCanBeRepeated() throws IOException {
        store.failAfterCreating(ChangeReader.changeKey(1));
        assertThat(runWithStore("apply", menuFile, "--operation", "id")).isEqualTo(4);
        assertThat(output).contains("operation id may have been accepted; repeat it with the same operation id");
        store.setAvailable(true);
        assertThat(runWithStore("delete", "selector", "a-b", "--operation", "other"))
                .isZero();
        assertThat(runWithStore("apply", menuFile, "--operation", "id")).isZero();
        assertThat(output).isEqualTo("operation id was already committed at revision 1\n");
        assertThat(runWithStore("delete", "label", "m", "--operation", "id")).isEqualTo(2);
        assertThat(output).contains("operation id id was used for other edits at revision 1");
        assertThat(ChangeCommitter.create(store).refresh().revision()).isEqualTo(2);
    }

    @Test
    void anEntityThatChangedAfterTheBaseRevisionOfTheFileIsAConflict() throws IOException {
        runWithStore("apply", menuFile, "--operation", "first");
        runWithStore(
                "apply", writeFile("other.toml", SERVICE.replace("floor = 1", "floor = 2")), "--operation", "second");
        Path staleFile = writeFile("mine.toml", SERVICE.replace("floor = 1", "floor = 3"));
        assertThat(runWithStore("apply", staleFile, "--base", 1, "--operation", "third"))
                .isEqualTo(3);
        assertThat(output).contains("operation third", "operation second at revision 2 changed it since");
        assertThat(runWithStore("apply", staleFile, "--base", 2)).isZero();
    }

    @Test
    void usageErrorsAndOutagesHaveTheirOwnExitCodes() {
        assertThat(run("--help")).isZero();
        assertThat(output).contains("apply FILE...", "--operation <String: ID>");
        assertThat(run("apply", menuFile.toString())).isEqualTo(2);
        assertThat(output).isEqualTo("cassiabankctl: apply needs --store URL\n");
        assertThat(run("check", menuFile.toString())).isZero();
        assertThat(runWithStore("frobnicate")).isEqualTo(2);
        assertThat(runWithStore("delete", "service", "none")).isEqualTo(2);
        assertThat(runWithStore("show", "--unknown")).isEqualTo(2);
        assertThat(runWithStore("status", "--proxy", "127.0.0.1:1")).isEqualTo(1);
        assertThat(output).startsWith("store: revision 0\n127.0.0.1:1: unknown, ");
        store.setAvailable(false);
        assertThat(runWithStore("show")).isEqualTo(4);
        assertThat(runWithStore("status")).isEqualTo(4);
    }

    @Test
    void warningsFailOnlyAStrictCheckAndNameFileAndLine() throws IOException {
        Path idleFile = writeFile("idle.toml", "[service.menu]\nslots = 1\nfloor = 0\ndeadline-millis = 1\n");
        assertThat(run("check", menuFile.toString(), "--strict")).isZero();
        String[] check = {"check", menuFile.toString(), idleFile.toString()};
        assertThat(run(check)).isZero();
        assertThat(output)
                .isEqualTo("4 declarations are valid\n"
                        + "warning: idle.toml:1: service.menu: no selector names this service\n");
        assertThat(run(check[0], check[1], check[2], "--strict")).isEqualTo(1);
        Path dottedNameFile = writeFile("dotted.toml", SERVICE);
        assertThat(run("check", idleFile.toString(), dottedNameFile.toString())).isZero();
        assertThat(output).contains("idle.toml:1: service.menu: ", "dotted.toml:1: service.menu.v1: ");
        assertThat(run(check[0], check[1], "--strict", "--against", "missing.toml"))
                .isEqualTo(2);
    }

    @Test
    void differencesShowNoKeysOfCustomers() throws IOException {
        runWithStore("apply", menuFile, writeFile("old.toml", "[customer.guest]\nkeys = [\"a1\", \"b1\"]\n"));
        Path newFile = writeFile(
                "new.toml",
                SERVICE.replace("floor = 1", "floor = 2")
                        + LABEL
                        + "[customer.guest]\nkeys = [\"b1\", \"c1\", \"d1\"]\nurgency = 2\n"
                        + "[selector.b]\nservice = \"menu.v1\"\npath = \"/b\"\n");
        assertThat(runWithStore("check", newFile, "--strict")).isZero();
        assertThat(output.lines())
                .containsExactly(
                        "4 declarations are valid together with revision 1",
                        "compared with revision 1: 1 added, 1 removed (kept by apply), 2 changed",
                        "changed service.menu.v1: floor 1 -> 2",
                        "removed selector.a-b",
                        "added selector.b",
                        "changed customer.guest: keys 2 added and 1 removed, urgency none -> 2");
        assertThat(run("check", menuFile.toString(), "--against", newFile.toString()))
                .isZero();
        assertThat(output).contains("new.toml: 1 added, 2 removed, 1 changed\n", "removed customer.guest\n");
        Path limitedFile =
                writeFile("limited.toml", Files.readString(menuFile).replace("path =", "timeout-millis = 9\npath ="));
        run("check", limitedFile.toString(), "--against", menuFile.toString());
        assertThat(output).endsWith("changed selector.a-b: timeout-millis 0 -> 9\n");
        store.setAvailable(false);
        assertThat(runWithStore("check", newFile)).isEqualTo(4);
    }
}
