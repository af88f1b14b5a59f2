package dewplank.balancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * The balancer is a pure function of its events: it depends only on the JDK and uses no I/O, no threads and no clock.
 */
class BalancerArchitectureTest {
    private static final JavaClasses BALANCER = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("dewplank.balancer");

    @Test
    void dependsOnlyOnTheJdk() {
        classes()
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("dewplank.balancer..", "java.lang..", "java.util..", "java.nio")
                .check(BALANCER);
    }

    @Test
    void doesNoInputOrOutput() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.logging..",
                        "java.util.zip..")
                .check(BALANCER);
        noClasses()
                .should()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err")
                .orShould()
                .callMethod(System.class, "getLogger", String.class)
                .check(BALANCER);
    }

    @Test
    void usesNoThreadsAndNoClock() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..", "java.time..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(BALANCER);
    }
}
