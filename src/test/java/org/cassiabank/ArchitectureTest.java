package org.cassiabank;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against clocks, random sources and sockets in the decision modules, which would make tests irreproducible. */
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
        "org.cassiabank.retry"
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
