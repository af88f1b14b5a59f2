package dewplank.balancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.Test;

/** Decisions are pure steps: whoever needs I/O, a thread or a clock for one has it in the wrong module. */
public class BalancerArchitectureTest {
    private static final JavaClasses DECISIONS = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("dewplank.balancer");

    @Test
    public void decisionsUseTheJdkAlone() {
        classes()
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("dewplank.balancer..", "java.lang..", "java.util..", "java.nio")
                .check(DECISIONS);
    }

    @Test
    public void decisionsDoNoInputOrOutput() {
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
                .check(DECISIONS);
        noClasses()
                .should()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err")
                .orShould()
                .callMethod(System.class, "getLogger", String.class)
                .check(DECISIONS);
    }

    @Test
    public void decisionsStartNoThreadAndReadNoClock() {
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
                .check(DECISIONS);
    }
}
