package dewplank.fleet.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.loopback.ProgramProcess;
import dewplank.fleet.Programs;
import dewplank.settings.NodeSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BooleanSupplier;

/** One program of the fleet in a process of its own, with the deployed JVM flags, without a platform or peers. */
final class LoneProcess implements AutoCloseable {
    static final int CONTROL_PORT = 18_246;
    static final int FRONT_PORT = 18_244;
    static final int READINESS_PORT = 18_240;
    static final int INTERNAL_PORT = 17_760;
    static final int GOSSIP_PORT = 17_775;
    private static final int TIMEOUT_MS = 20_000;
    private static final int POLL_INTERVAL_MS = 50;

    private final ProgramProcess process;
    private final String address;

    private LoneProcess(String program, String address, Path folder) {
        this.address = address;
        this.process =
                new ProgramProcess(program + "-" + address, Programs.command(program), NodeSettings.VARIABLE, folder);
    }

    static LoneProcess controlPlane(String address, Path folder) {
        return new LoneProcess("control-plane", address, folder);
    }

    static LoneProcess dataPlane(String address, Path folder) {
        return new LoneProcess("data-plane", address, folder);
    }

    LoneProcess start(String settings) throws IOException {
        process.start(settings, List.of());
        return this;
    }

    void writeSettings(String settings) throws IOException {
        process.writeSettings(settings);
    }

    void signal(String name) throws IOException, InterruptedException {
        process.signal(name);
    }

    boolean awaitEnd(int seconds) throws InterruptedException {
        return process.awaitEnd(seconds);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String log() throws IOException {
        return Files.exists(process.log()) ? Files.readString(process.log()) : "";
    }

    /** Waits until the log contains the text, and fails if the process ends before that. */
    void awaitLog(String text) throws IOException, InterruptedException {
        await("\"" + text + "\" in the log", () -> {
            try {
                return log().contains(text);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Waits until a TCP port accepts connections. */
    void awaitPort(int port) throws IOException, InterruptedException {
        await("port " + port, () -> {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(address, port), TIMEOUT_MS);
                return true;
            } catch (IOException e) {
                return false;
            }
        });
    }

    private void await(String what, BooleanSupplier state) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (!state.getAsBoolean()) {
            assertTrue(isAlive(), () -> "ended before " + what + ":\n" + logOrEmpty());
            assertTrue(System.nanoTime() < endNanos, () -> "no " + what + ":\n" + logOrEmpty());
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private String logOrEmpty() {
        try {
            return log();
        } catch (IOException e) {
            return "";
        }
    }

    static String controlSettings(String address, Path disk, boolean initialStart) {
        return settings(
                address, "\"control\":\"" + address + ":" + CONTROL_PORT + "\"", "\"" + disk + "\"", initialStart);
    }

    static String dataSettings(String address) {
        return settings(
                address,
                "\"front\":\"" + address + ":" + FRONT_PORT + "\",\"readiness\":\"" + address + ":" + READINESS_PORT
                        + "\"",
                "null",
                true);
    }

    private static String settings(String address, String listen, String disk, boolean initialStart) {
        return "{\"node_name\":\"lone\",\"ip_address\":\"" + address + "\",\"zone\":\"z\",\"listen_addresses\":{"
                + listen
                + "},\"internal_port_range\":[" + INTERNAL_PORT + "," + GOSSIP_PORT + "],\"seed_nodes\":[\"" + address
                + ":" + CONTROL_PORT + "\"],\"initial_start\":" + initialStart + ",\"loss_counted\":true,"
                + "\"limits\":{\"max_file_descriptors\":4100,\"disk_mb\":128},\"data_directory\":" + disk
                + ",\"bounds\":{\"drain_ms\":3000,\"grace_s\":8,\"config_apply_ms\":2000,\"retry_budget_ratio\":0.2,"
                + "\"budget_window_s\":10,\"retry_budget_slack\":56,\"contact_ms\":3000},"
                + "\"platform_api\":{\"address\":\"127.0.0.1:9\",\"rate_per_s\":44}}";
    }

    @Override
    public void close() throws InterruptedException {
        process.kill();
        process.awaitEnd();
    }
}
