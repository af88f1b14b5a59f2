package dewplank.emulator.loopback;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** A sidecar process that is configured by a file only. */
final class SidecarProcess {
    private static final List<String> REMOVED_VARIABLES = List.of("GW_NAME", "GW_LISTEN", "GW_DISCOVERY");

    private final ProgramProcess process;
    private final InetSocketAddress listen;

    SidecarProcess(List<String> command, Path folder, int number, InetSocketAddress listen) {
        this.process = new ProgramProcess("sidecar-" + number, command, "GW_CONFIG", folder);
        this.listen = listen;
    }

    InetSocketAddress listen() {
        return listen;
    }

    /** The file with the output of all incarnations of the process. */
    Path log() {
        return process.log();
    }

    void start(String configuration) throws IOException {
        process.start(configuration, REMOVED_VARIABLES);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void kill() {
        process.kill();
    }

    void awaitEnd() throws InterruptedException {
        process.awaitEnd();
    }
}
