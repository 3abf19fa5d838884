package org.cassiabank;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against clocks, random sources and sockets in the decision modules, which would make tests irreproducible, and
 * against terms and types of the platform outside its adapter.
 */
class ArchitectureTest {
    private static final String[] DECISION_PACKAGES = {
        "org.cassiabank.collection",
        "org.cassiabank.kernel",
        "org.cassiabank.declaration",
        "org.cassiabank.revision",
        "org.cassiabank.membership",
        "org.cassiabank.admission",
        "org.cassiabank.health",
        "org.cassiabank.once",
        "org.cassiabank.retry",
        "org.cassiabank.quota"
    };

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.cassiabank");

    @Test
    void decisionModulesReadNoClockAndNoGlobalRandomSource() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .callMethod(Math.class, "random")
                .check(classes);
    }

    @Test
    void onlyThePlatformAdapterUsesThePlatformsTypesAndProtocolTerms() throws IOException {
        noClasses()
                .that()
                .resideOutsideOfPackage("org.cassiabank.platform")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.cassiabank.platform")
                .check(classes);
        List<String> platformTerms = List.of(
                "/api/kv-",
                "Response-Seal",
                "Not-Executed",
                "Expect-Instance",
                "Deadline-Ms",
                "op/config",
                "warmup_left",
                "weighted_clusters",
                "resource_type",
                "retry_budget_ratio");
        List<String> occurrences = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String text = Files.readString(file);
                boolean isAdapter = file.getParent().endsWith("platform");
                platformTerms.stream()
                        .filter(term -> !isAdapter && text.contains(term))
                        .forEach(term -> occurrences.add(file + ": " + term));
            }
        }
        assertThat(occurrences).isEmpty();
    }

    @Test
    void theAdapterDependsOnNoDecisionModule() {
        noClasses()
                .that()
                .resideInAPackage("org.cassiabank.platform")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.cassiabank.admission",
                        "org.cassiabank.health",
                        "org.cassiabank.once",
                        "org.cassiabank.proxy",
                        "org.cassiabank.retry",
                        "org.cassiabank.revision")
                .check(classes);
    }

    @Test
    void theAdapterStaysUnderAFifteenthOfTheCode() throws IOException {
        assertThat(15 * countLines("src/main/java/org/cassiabank/platform"))
                .isLessThan(countLines("src/main/java/org/cassiabank")
                        - countLines("src/main/java/org/cassiabank/peer/generated"));
    }

    private static long countLines(String folder) throws IOException {
        long lines = 0;
        try (Stream<Path> files = Files.walk(Path.of(folder))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                lines += Files.readAllLines(file).size();
            }
        }
        return lines;
    }

    @Test
    void decisionModulesUseNoNetwork() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("okhttp3..", "io.netty..", "io.jooby..", "org.apache.thrift..", "java.net..")
                .check(classes);
    }
}
