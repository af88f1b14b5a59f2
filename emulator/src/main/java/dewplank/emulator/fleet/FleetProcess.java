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

/** One process of the fleet. Whatever the test does to it is recorded in the history. Not thread-safe. */
public final class FleetProcess {
    private final EventLoop loop;
    private final History history;
    private final FleetMachine machine;
    private final List<InetSocketAddress> seeds;
    private final ProgramProcess process;
    private final Optional<Path> disk;

    FleetProcess(
            EventLoop loop,
            History history,
            FleetMachine machine,
            List<InetSocketAddress> seeds,
            List<String> command,
            Path folder) {
        this.loop = loop;
        this.history = history;
        this.machine = machine;
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

    /** The file with the output of all its incarnations. */
    public Path log() {
        return process.log();
    }

    /** Starts the process as part of a fleet that starts for the first time. */
    public void startFirst() throws IOException {
        start(true);
    }

    /** Starts the process again, with the present content of its disk. */
    public void restart() throws IOException {
        start(false);
    }

    private void start(boolean initialStart) throws IOException {
        if (disk.isPresent()) {
            Files.createDirectories(disk.get());
        }
        record(ProcessFault.STARTED);
        process.start(SettingsFile.of(machine, seeds, initialStart, disk), List.of());
    }

    /** Writes a settings file with these of the fleet's seeds, by their index, and sends SIGHUP. */
    public void reload(List<Integer> seedIndexes) throws IOException, InterruptedException {
        List<InetSocketAddress> chosen = seedIndexes.stream().map(seeds::get).toList();
        reload(SettingsFile.of(machine, chosen, false, disk));
    }

    /** Writes a settings file that can't be read and sends SIGHUP. */
    public void reloadUnreadable() throws IOException, InterruptedException {
        String text = SettingsFile.of(machine, seeds, false, disk);
        reload(text.substring(0, text.length() / 2));
    }

    private void reload(String settings) throws IOException, InterruptedException {
        record(ProcessFault.RELOADED);
        process.writeSettings(settings);
        process.signal("HUP");
    }

    /** How many seeds the settings files name. */
    public int seedCount() {
        return seeds.size();
    }

    /** Whether the process runs, frozen or not. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the end. */
    public void kill() throws InterruptedException {
        record(ProcessFault.KILLED);
        process.kill();
        process.awaitEnd();
    }

    /** Sends SIGKILL at the end of the test; not recorded. */
    void destroy() {
        process.kill();
    }

    /** Sends SIGTERM. */
    public void terminate() throws IOException, InterruptedException {
        record(ProcessFault.TERMINATED);
        process.signal("TERM");
    }

    /** Waits for the end; whether it came within so many seconds. */
    public boolean awaitEnd(int seconds) throws InterruptedException {
        return process.awaitEnd(seconds);
    }

    /** Sends SIGSTOP. */
    public void freeze() throws IOException, InterruptedException {
        record(ProcessFault.FROZEN);
        process.signal("STOP");
    }

    /** Sends SIGCONT. */
    public void thaw() throws IOException, InterruptedException {
        record(ProcessFault.THAWED);
        process.signal("CONT");
    }

    /** Deletes the disk of a control plane; its process must not run. */
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
