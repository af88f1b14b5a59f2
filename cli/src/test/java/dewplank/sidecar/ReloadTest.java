package dewplank.sidecar;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** The program itself, with real signals. */
public class ReloadTest {
    private static final long TIMEOUT_MS = 60_000; // only a failing test waits so long
    /** Nothing else uses it: its ports can't be taken by connections of other processes before the program listens. */
    private static final String LISTEN_HOST = "127.0.0.2";

    /** Found on the first day of new configurations: a JVM that is not told otherwise ends on SIGHUP, with 129. */
    @Test(timeout = TIMEOUT_MS)
    public void sighupReloadsTheFileAndAnInvalidFileChangesNothing() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try (LoopbackNetwork.ScriptedPeer first = new LoopbackNetwork.ScriptedPeer();
                LoopbackNetwork.ScriptedPeer second = new LoopbackNetwork.ScriptedPeer();
                LoopbackNetwork.ScriptedPeer third = new LoopbackNetwork.ScriptedPeer()) {
            write(file, first);
            Process program = serve(file, first);
            try (BufferedReader log = program.inputReader()) {
                first.next();
                write(file, second);
                signal(program, "HUP");
                second.next();
                Files.writeString(file, "{");
                signal(program, "HUP");
                awaitLine(log, "reload rejected, old configuration stays cause=GW_CONFIG: ");
                write(file, third);
                signal(program, "HUP");
                third.next();
                signal(program, "TERM"); // it still drains
                awaitLine(log, "drained");
                assertEquals(143, program.waitFor());
            } finally {
                program.destroyForcibly();
            }
        }
        Files.delete(file);
    }

    /** The configuration is a pipe that holds the start up: a hangup meanwhile must not end the program. */
    @Test(timeout = TIMEOUT_MS)
    public void sighupDuringTheStartReloadsAfterIt() throws Exception {
        Path pipe = Files.createTempDirectory("config").resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (LoopbackNetwork.ScriptedPeer first = new LoopbackNetwork.ScriptedPeer();
                LoopbackNetwork.ScriptedPeer second = new LoopbackNetwork.ScriptedPeer()) {
            Process program = serve(pipe, first);
            try {
                try (OutputStream config = Files.newOutputStream(pipe)) { // waits for the reader
                    signal(program, "HUP");
                    config.write(configuration(first).getBytes(StandardCharsets.UTF_8));
                }
                first.next();
                Files.writeString(pipe, configuration(second));
                second.next();
                signal(program, "TERM");
                signal(program, "TERM"); // a second one changes nothing
                assertEquals(143, program.waitFor());
            } finally {
                program.destroyForcibly();
            }
        }
        Files.delete(pipe);
        Files.delete(pipe.getParent());
    }

    /** Started as by nohup: such a JVM leaves the signal alone, and the sidecar used to lose reloads without a word. */
    @Test(timeout = TIMEOUT_MS)
    public void aChangedFileIsReloadedWhereSighupIsIgnored() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try (LoopbackNetwork.ScriptedPeer first = new LoopbackNetwork.ScriptedPeer();
                LoopbackNetwork.ScriptedPeer second = new LoopbackNetwork.ScriptedPeer();
                LoopbackNetwork.ScriptedPeer third = new LoopbackNetwork.ScriptedPeer()) {
            write(file, first);
            Process program = serve(file, first, "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
            try (BufferedReader log = program.inputReader()) {
                first.next();
                write(file, second);
                signal(program, "HUP");
                second.next();
                awaitLine(log, "SIGHUP does not reach this program");
                Files.writeString(file, "{");
                awaitLine(log, "reload rejected, old configuration stays cause=GW_CONFIG: ");
                write(file, third);
                third.next();
                signal(program, "TERM");
                awaitLine(log, "drained");
                assertEquals(143, program.waitFor());
            } finally {
                program.destroyForcibly();
            }
        }
        Files.delete(file);
    }

    @Test(timeout = TIMEOUT_MS)
    public void sighupAfterTheReloadOfAChangedFileIsSkipped() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        try (LoopbackNetwork.ScriptedPeer first = new LoopbackNetwork.ScriptedPeer();
                LoopbackNetwork.ScriptedPeer second = new LoopbackNetwork.ScriptedPeer()) {
            write(file, first);
            Process program = serve(file, first);
            try (BufferedReader log = program.inputReader()) {
                first.next();
                awaitLine(log, "serves on");
                write(file, second);
                second.next();
                awaitLine(log, "configuration reloaded discovery=");
                signal(program, "HUP");
                assertTrue(
                        "a second reload",
                        awaitLine(log, "configuration re").contains("reload skipped reason=unchanged"));
                signal(program, "TERM");
                awaitLine(log, "drained");
                assertEquals(143, program.waitFor());
            } finally {
                program.destroyForcibly();
            }
        }
        Files.delete(file);
    }

    private static Process serve(Path file, LoopbackNetwork.ScriptedPeer discovery, String... through)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(through));
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "dewplank.Main",
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment()
                .put("GW_DISCOVERY", "127.0.0.1:" + discovery.address().getPort());
        return builder.start();
    }

    private static void write(Path file, LoopbackNetwork.ScriptedPeer discovery) throws IOException {
        Files.writeString(file, configuration(discovery));
    }

    private static String configuration(LoopbackNetwork.ScriptedPeer discovery) throws IOException {
        return "{\"name\":\"n0\",\"listen\":\"" + LISTEN_HOST + ":" + LoopbackNetwork.freePort()
                + "\",\"discovery\":\"127.0.0.1:"
                + discovery.address().getPort() + "\",\"seed\":\"5\",\"known\":"
                + LoopbackNetwork.catalogJson(7, true, List.of())
                + ",\"settings\":" + LoopbackNetwork.SETTINGS + "}";
    }

    private static void signal(Process program, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(program.pid()))
                        .start()
                        .waitFor());
    }

    private static String awaitLine(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        assertTrue("the log ends without: " + part, line != null);
        return line;
    }
}
