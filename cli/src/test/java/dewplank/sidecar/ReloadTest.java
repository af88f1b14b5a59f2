package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Reloads of the configuration by a sidecar process, with real signals. Each test has a separate thread so that its
 * timeout works, as waiting for a log line can't be interrupted.
 */
@Timeout(value = ReloadTest.TIMEOUT_S, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReloadTest {
    static final long TIMEOUT_S = 60; // expires only if a test fails
    /** Nothing else uses this address, so no other process can take its ports before the program listens. */
    private static final String LISTEN_HOST = "127.0.0.2";

    /** A JVM without a handler exits with 129 on SIGHUP. */
    @Test
    void sighupReloadsTheFileAndAnInvalidFileChangesNothing() throws Exception {
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
                signal(program, "TERM"); // SIGTERM starts a drain
                awaitLine(log, "drained");
                assertEquals(143, program.waitFor());
            } finally {
                program.destroyForcibly();
            }
        }
        Files.delete(file);
    }

    /** The configuration is a pipe, so the start blocks; SIGHUP must not terminate the program during that time. */
    @Test
    void sighupDuringTheStartCausesAReloadAfterIt() throws Exception {
        Path pipe = Files.createTempDirectory("config").resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (LoopbackNetwork.ScriptedPeer first = new LoopbackNetwork.ScriptedPeer();
                LoopbackNetwork.ScriptedPeer second = new LoopbackNetwork.ScriptedPeer()) {
            Process program = serve(pipe, first);
            try {
                try (OutputStream config = Files.newOutputStream(pipe)) { // blocks until the program reads
                    signal(program, "HUP");
                    config.write(configuration(first).getBytes(StandardCharsets.UTF_8));
                }
                first.next();
                Files.writeString(pipe, configuration(second));
                second.next();
                signal(program, "TERM");
                signal(program, "TERM"); // a second signal has no effect
                assertEquals(143, program.waitFor());
            } finally {
                program.destroyForcibly();
            }
        }
        Files.delete(pipe);
        Files.delete(pipe.getParent());
    }

    /** A JVM that was started by nohup ignores SIGHUP, so changes are only detected by the attributes of the file. */
    @Test
    void aChangedFileIsReloadedIfSighupIsIgnored() throws Exception {
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

    @Test
    void sighupAfterTheReloadOfAChangedFileIsSkipped() throws Exception {
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
                String line = awaitLine(log, "configuration re");
                assertTrue(line.contains("reload skipped reason=unchanged"), "a second reload: " + line);
                signal(program, "TERM");
                awaitLine(log, "drained");
                assertEquals(143, program.waitFor());
            } finally {
                program.destroyForcibly();
            }
        }
        Files.delete(file);
    }

    private static Process serve(Path file, LoopbackNetwork.ScriptedPeer discovery, String... launcher)
            throws IOException {
        List<String> command = new ArrayList<>(List.of(launcher));
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
        assertNotNull(line, "the log ends without: " + part);
        return line;
    }
}
