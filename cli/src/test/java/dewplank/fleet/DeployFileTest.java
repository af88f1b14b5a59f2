package dewplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The tests of processes run with the flags that bound the memory of deployed processes. */
class DeployFileTest {
    private static final List<String> OPTIONS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms24m",
            "-Xmx96m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=24m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:-UsePerfData",
            "-XX:+ExitOnOutOfMemoryError");

    @ParameterizedTest
    @ValueSource(strings = {"control-plane", "data-plane"})
    void processesOfTestsRunWithTheDeployedOptions(String program) {
        List<String> command = Programs.command(program);
        assertEquals(OPTIONS, command.subList(1, 1 + OPTIONS.size()));
    }

    @Test
    void toolsRunWithTheDeployedOptions() {
        List<String> command = Programs.java();
        assertEquals(OPTIONS, command.subList(1, command.size()));
    }
}
