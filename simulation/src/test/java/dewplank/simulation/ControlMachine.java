package dewplank.simulation;

import dewplank.controlplane.ControlProcess;
import dewplank.message.Endpoint;
import dewplank.message.FleetMessages;
import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import dewplank.settings.NodeSettings;
import dewplank.store.DiskExecutor;
import dewplank.store.StoreFiles;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** A core machine with a control plane and its disk, or a machine without a disk that runs the same program. */
final class ControlMachine extends Machine {
    private static final String NO_DISK = "\"data_directory\":null";

    private final SimulatedDisk disk;
    private final boolean durable;
    private final SimulatedDiskExecutor.DiskFaults diskFaults = new SimulatedDiskExecutor.DiskFaults();
    private List<String> seeds;
    private boolean initialStart;
    private boolean keepsInitialStart;
    private ControlProcess process;
    private SimulatedDiskExecutor executor;
    private String incarnationName;

    ControlMachine(
            SimulatedFleet fleet,
            String name,
            String ip,
            List<String> seeds,
            boolean initialStart,
            SplittableRandom random) {
        this(fleet, name, ip, seeds, initialStart, true, random);
    }

    /** Creates a machine without a disk for the initial start of the fleet. */
    static ControlMachine relay(
            SimulatedFleet fleet, String name, String ip, List<String> seeds, SplittableRandom random) {
        return new ControlMachine(fleet, name, ip, seeds, true, false, random);
    }

    private ControlMachine(
            SimulatedFleet fleet,
            String name,
            String ip,
            List<String> seeds,
            boolean initialStart,
            boolean durable,
            SplittableRandom random) {
        super(fleet, name, ip, random);
        this.durable = durable;
        this.seeds = seeds;
        this.initialStart = initialStart;
        this.disk = new SimulatedDisk(random.split());
    }

    ControlProcess process() {
        return process;
    }

    SimulatedDisk disk() {
        return disk;
    }

    SimulatedDiskExecutor.DiskFaults diskFaults() {
        return diskFaults;
    }

    /**
     * Replaces the seeds in the settings file. A running process reloads the file; otherwise it is read at the next
     * start.
     */
    void changeSeeds(List<String> next) {
        seeds = next;
        if (process != null) {
            process.reload(settings());
        }
    }

    /** Keeps {@code initial_start} set in the settings when the process restarts. */
    void keepInitialStart() {
        keepsInitialStart = true;
    }

    /** Replaces the disk with an empty one while the machine is down. */
    void wipe() {
        fleet().log(name() + " loses its disk");
        disk.wipe();
        disk.setFull(false);
    }

    NodeSettings settings() {
        String text = SimulatedFleet.settings(name(), ip(), seeds, initialStart, durable);
        return NodeSettings.parse(durable ? text : text.replace("\"data_directory\":\"/data\"", NO_DISK));
    }

    @Override
    boolean startProcess(ProcessIncarnation newIncarnation) {
        executor = new SimulatedDiskExecutor(fleet().time(), newIncarnation, disk, diskFaults, random().split());
        incarnationName = name() + "#" + incarnationCount();
        try {
            process = new ControlProcess(
                    settings(),
                    new ProcessDependencies(newIncarnation),
                    FleetMessages.codec(),
                    () -> restartWithDisk(newIncarnation));
        } catch (IOException e) {
            fleet().log(name() + ": " + e.getMessage());
            return false;
        }
        initialStart = initialStart && (keepsInitialStart || process.isDiskRefused());
        process.start();
        return true;
    }

    /** Restarts the process with the same settings, as the program does when its disk becomes usable. */
    private void restartWithDisk(ProcessIncarnation withoutDisk) {
        fleet().time().after(0, () -> {
            if (incarnation() == withoutDisk) {
                kill();
                start();
            }
        });
    }

    @Override
    void onProcessEnded(boolean powerLost) {
        executor.abort();
        process = null;
        if (powerLost) {
            disk.losePower();
        }
    }

    @Override
    void observe() {
        if (process != null && durable) {
            fleet().invariants().observe(this, incarnationName);
        }
    }

    /** Drains the process, as on SIGTERM, and restarts it after a delay. */
    void terminate(double delayMs) {
        ProcessIncarnation ending = incarnation();
        fleet().log(name() + " receives SIGTERM");
        process.drain(() -> fleet().time().after(0, () -> {
            if (incarnation() == ending) {
                kill();
                fleet().time().after(delayMs, this::start);
            }
        }));
    }

    private final class ProcessDependencies implements ControlProcess.Dependencies {
        private final ProcessIncarnation incarnation;
        private final MessageTransport transport;

        ProcessDependencies(ProcessIncarnation incarnation) {
            this.incarnation = incarnation;
            this.transport = fleet().network().transport(ControlMachine.this, incarnation);
        }

        @Override
        public Scheduler scheduler() {
            return incarnation;
        }

        @Override
        public long wallClockMs() {
            return ControlMachine.this.wallClockMs();
        }

        @Override
        public RandomGenerator random() {
            return ControlMachine.this.random().split();
        }

        @Override
        public String newIdentity() {
            return Long.toString(ControlMachine.this.random().nextLong() >>> 1, Character.MAX_RADIX);
        }

        @Override
        public MessageTransport transport() {
            return transport;
        }

        @Override
        public StoreFiles files() {
            return disk;
        }

        @Override
        public DiskExecutor disk() {
            return executor;
        }

        @Override
        public void fetchInstances(Consumer<List<Endpoint>> callback) {
            fleet().platform().fetchInstances(ControlMachine.this, incarnation, callback);
        }
    }
}
