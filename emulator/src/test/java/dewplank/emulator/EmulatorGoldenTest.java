package dewplank.emulator;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;
import dewplank.emulator.virtualtime.VirtualRun;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.junit.Test;

/**
 * Checks that the emulator records exactly the same events for the same scenario and seed, by comparing digests. A
 * refactoring or renaming must not change the digests. A change of the model's behaviour, including the order in which
 * random numbers are drawn, changes them, and its commit must state this; the recorded events are written to {@code
 * target/golden}, for comparison with those of the previous commit.
 */
public class EmulatorGoldenTest {

    /** Times and values are rounded to 1e-6, a coarser step than platform differences of logarithm and sine. */
    private static final String LINE = "%.6f %s %d %d %d %d %.6f";

    private static List<String> recordRun(String name, long seed) throws IOException {
        List<String> lines = new ArrayList<>();
        VirtualRun run = new VirtualRun(
                scenario(name),
                seed,
                (settings, balancerSeed, environment, sidecar) -> new RandomBalancer(balancerSeed),
                event -> lines.add(String.format(
                        Locale.ROOT,
                        LINE,
                        event.atMs(),
                        event.type(),
                        event.request(),
                        event.requestClass(),
                        event.sidecar(),
                        event.server(),
                        event.value())),
                (requestClass, tenant, sentAtMs, tookMs, attempts, last) -> lines.add(String.format(
                        Locale.ROOT,
                        "ended %d %d %.6f %.6f %d %s",
                        requestClass,
                        tenant,
                        sentAtMs,
                        tookMs,
                        attempts,
                        last)),
                VirtualRun.Execution.SEQUENTIAL);
        lines.add(run.run().toString().replaceAll("[A-Za-z]+", ""));
        return lines;
    }

    private static Scenario scenario(String name) throws IOException {
        String file = "/golden/" + name + ".toml";
        try (InputStream in = EmulatorGoldenTest.class.getResourceAsStream(file)) {
            return ScenarioFile.of(TomlFile.read(new String(in.readAllBytes(), StandardCharsets.UTF_8), file));
        }
    }

    private static String digest(List<String> lines) {
        try {
            byte[] text = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void assertDigest(String expected, String name, long seed) throws IOException {
        List<String> lines = recordRun(name, seed);
        Path file = Path.of("target", "golden", name + "-" + seed + ".txt");
        Files.createDirectories(file.getParent());
        Files.write(file, lines);
        assertEquals("recorded events of " + name + ", seed " + seed, expected, digest(lines));
    }

    @Test
    public void eventsOfEveryFaultKindAreUnchanged() throws IOException {
        assertDigest("ea8cb7eeaac536d691ec6cda1ad7863806c24bf7978e46c6008f7428c76b4795", "faults", 1);
        assertDigest("93faa3b0c103b093cbf3ee2315efd2f612b98bd613c51b6f3685d99cc032af91", "faults", 2);
    }

    @Test
    public void eventsOfAnOverloadedFleetAreUnchanged() throws IOException {
        assertDigest("9cc46b611a5e1f414eb7ddbf30b2fe6eabd6105f56d82ad8462817bcf2dc5edb", "crowded", 1);
        assertDigest("e85c9ee5a6850c61b2ed576b8526e16f59bc26b560240c7d84e5e8aa2dd67cd5", "crowded", 2);
    }

    @Test
    public void eventsOfCollapsingColdServersAreUnchanged() throws IOException {
        assertDigest("dd96da99181fb299004b6959a7559a27134d45558417097218ea6acf8dedfc20", "cold", 1);
        assertDigest("ef8e7470353b62a28b40e92b447f23acfd78d41a961d567f62aa6bbf480962d2", "cold", 2);
    }

    /** The digests cover the emulator only if the scenarios produce every type of event. */
    @Test
    public void theScenariosProduceEveryEventType() throws IOException {
        Set<Type> missing = EnumSet.allOf(Type.class);
        for (String name : List.of("faults", "crowded", "cold")) {
            for (String line : recordRun(name, 1)) {
                missing.removeIf(type -> line.contains(" " + type + " "));
            }
        }
        assertTrue("not recorded: " + missing, missing.isEmpty());
    }
}
