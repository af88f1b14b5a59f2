package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.ProcessFault;
import dewplank.emulator.loopback.ProgramProcess;
import dewplank.net.EventLoop;
import dewplank.settings.NodeSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** A process of the fleet. The history records the faults that the test causes in the process. Not thread-safe. */
public final class FleetProcess {
    private final EventLoop loop;
    private final History history;
    private final FleetMachine machine;
    private final MachineLimits limits;
    private final List<InetSocketAddress> seeds;
    private final ProgramProcess process;
    private final Optional<Path> disk;

    FleetProcess(
            EventLoop loop,
            History history,
            FleetMachine machine,
            MachineLimits limits,
            List<InetSocketAddress> seeds,
            List<String> command,
            Path folder) {
        this.loop = loop;
        this.history = history;
        this.machine = machine;
        this.limits = limits;
        this.seeds = List.copyOf(seeds);
        this.process = new ProgramProcess(machine.node(), command, NodeSettings.VARIABLE, folder);
        this.disk = machine.machineClass() == MachineClass.CORE
                ? Optional.of(folder.resolve(machine.node() + "-disk"))
                : Optional.empty();
    }

    /** The machine that the process runs on. */
    public FleetMachine machine() {
        return machine;
    }

    /** The file with the output of all incarnations of the process. */
    public Path log() {
        return process.log();
    }

    /** Starts the process for the first time, together with its fleet. */
    public void startFirst() throws IOException {
        start(true);
    }

    /** Restarts the process with the current content of its disk. */
    public void restart() throws IOException {
        start(false);
    }

    private void start(boolean initialStart) throws IOException {
        if (disk.isPresent()) {
            Files.createDirectories(disk.get());
        }
        record(ProcessFault.STARTED);
        process.start(SettingsFile.of(machine, limits, seeds, initialStart, disk), List.of());
    }

    /** Restarts the process while its settings file is only half written. */
    public void restartWithUnreadableSettings() throws IOException {
        record(ProcessFault.STARTED);
        String text = SettingsFile.of(machine, limits, seeds, false, disk);
        process.start(text.substring(0, text.length() / 2), List.of());
    }

    /** Writes the complete settings file. */
    public void completeSettings() throws IOException {
        process.writeSettings(SettingsFile.of(machine, limits, seeds, false, disk));
    }

    /** Writes a settings file that lists only the seeds with the given indexes, and sends SIGHUP. */
    public void reload(List<Integer> seedIndexes) throws IOException, InterruptedException {
        List<InetSocketAddress> chosen = seedIndexes.stream().map(seeds::get).toList();
        reload(SettingsFile.of(machine, limits, chosen, false, disk));
    }

    /** Writes a truncated settings file, which can't be parsed, and sends SIGHUP. */
    public void reloadUnreadable() throws IOException, InterruptedException {
        String text = SettingsFile.of(machine, limits, seeds, false, disk);
        reload(text.substring(0, text.length() / 2));
    }

    private void reload(String settings) throws IOException, InterruptedException {
        record(ProcessFault.RELOADED);
        process.writeSettings(settings);
        process.signal("HUP");
    }

    /** The number of seeds in the settings files. */
    public int seedCount() {
        return seeds.size();
    }

    /** The process id of the current incarnation. */
    public long pid() {
        return process.pid();
    }

    /** Whether the process is running or paused. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits until the process has exited. */
    public void kill() throws InterruptedException {
        record(ProcessFault.KILLED);
        process.kill();
        process.awaitEnd();
    }

    /** Sends SIGKILL at the end of the test, without a record in the history. */
    void destroy() {
        process.kill();
    }

    /** Sends SIGTERM. */
    public void terminate() throws IOException, InterruptedException {
        record(ProcessFault.TERMINATED);
        process.signal("TERM");
    }

    /** Waits until the process exits; returns false if it is still running after the given seconds. */
    public boolean awaitEnd(int seconds) throws InterruptedException {
        return process.awaitEnd(seconds);
    }

    /** Sends SIGSTOP. */
    public void pause() throws IOException, InterruptedException {
        record(ProcessFault.FROZEN);
        process.signal("STOP");
    }

    /** Sends SIGCONT. */
    public void resume() throws IOException, InterruptedException {
        record(ProcessFault.THAWED);
        process.signal("CONT");
    }

    /** Deletes the data directory of a control plane, whose process must not be running. */
    public void loseDisk() throws IOException {
        record(ProcessFault.WIPED);
        List<Path> all;
        try (Stream<Path> files = Files.walk(disk.orElseThrow())) {
            all = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : all) {
            Files.delete(path);
        }
    }

    private void record(ProcessFault fault) {
        history.add(new FleetEvent.ProcessFaulted(loop.now(), machine.node(), machine.machineClass(), fault));
    }
}
