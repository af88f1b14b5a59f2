package dewplank.emulator.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One sidecar as a process of its own, told what to do by a configuration file alone. */
final class SidecarProcess {
    private static final int PATIENCE_S = 10;

    private final List<String> command;
    private final Path folder;
    private final int number;
    private final InetSocketAddress listen;
    private volatile Process process;

    SidecarProcess(List<String> command, Path folder, int number, InetSocketAddress listen) {
        this.command = command;
        this.folder = folder;
        this.number = number;
        this.listen = listen;
    }

    InetSocketAddress listen() {
        return listen;
    }

    /** Its log, over all its lives. */
    Path log() {
        return folder.resolve("sidecar-" + number + ".log");
    }

    void start(String configuration) throws IOException {
        Path file = folder.resolve("sidecar-" + number + ".json");
        Files.writeString(file, configuration);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().keySet().removeAll(List.of("GW_NAME", "GW_LISTEN", "GW_DISCOVERY"));
        process = builder.start();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    void awaitEnd() throws InterruptedException {
        if (process != null && !process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("sidecar " + number + " did not end when killed");
        }
    }
}
