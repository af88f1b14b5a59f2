package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.ProcessFault;
import dewplank.emulator.loopback.ProgramProcess;
import dewplank.net.EventLoop;
import dewplank.settings.NodeSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** One process of the fleet: started, ended and troubled; what is done to it goes into the history. */
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

    public FleetMachine machine() {
        return machine;
    }

    public Path log() {
        return process.log();
    }

    /** Starts it, when the whole system starts for the first time. */
    public void startFirst() throws IOException {
        start(true);
    }

    /** Starts it again, with whatever its disk holds. */
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

    public boolean isAlive() {
        return process.isAlive();
    }

    /** SIGKILL; returns when it has ended. */
    public void kill() throws InterruptedException {
        record(ProcessFault.KILLED);
        process.kill();
        process.awaitEnd();
    }

    /** Ends with the test, whatever state it is in. */
    void destroy() {
        process.kill();
    }

    /** SIGTERM. */
    public void terminate() throws IOException, InterruptedException {
        record(ProcessFault.TERMINATED);
        process.signal("TERM");
    }

    /** Whether it ended within so many seconds. */
    public boolean awaitEnd(int seconds) throws InterruptedException {
        return process.awaitEnd(seconds);
    }

    /** SIGSTOP. */
    public void freeze() throws IOException, InterruptedException {
        record(ProcessFault.FROZEN);
        process.signal("STOP");
    }

    /** SIGCONT. */
    public void thaw() throws IOException, InterruptedException {
        record(ProcessFault.THAWED);
        process.signal("CONT");
    }

    /** Loses the disk of a process that is not running. */
    public void loseDisk() throws IOException {
        record(ProcessFault.WIPED);
        List<Path> all;
        try (Stream<Path> files = Files.walk(disk.orElseThrow())) {
            all = files.sorted((a, b) -> b.compareTo(a)).toList();
        }
        for (Path path : all) {
            Files.delete(path);
        }
    }

    private void record(ProcessFault fault) {
        history.add(new FleetEvent.ProcessFaulted(loop.now(), machine.node(), machine.machineClass(), fault));
    }
}
