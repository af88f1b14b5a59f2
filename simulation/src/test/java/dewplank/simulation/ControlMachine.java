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

/** A core machine: the control plane and its disk; or a machine without a disk that runs the same program. */
final class ControlMachine extends Machine {
    private static final String NO_DISK = "\"data_directory\":null";

    private final SimulatedDisk disk;
    private final boolean durable;
    private final SimulatedDiskExecutor.DiskFaults diskFaults = new SimulatedDiskExecutor.DiskFaults();
    private List<String> seeds;
    private boolean initialStart;
    private boolean settingsStayInitial;
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

    /** A machine without a disk, at the first start of the whole. */
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

    /** The settings file is written anew; the process reads it now or at its next start. */
    void seeds(List<String> next) {
        seeds = next;
        if (process != null) {
            process.reload(settings());
        }
    }

    /** Its settings say {@code initial_start} also when it starts again. */
    void keepInitialSettings() {
        settingsStayInitial = true;
    }

    /** The disk is lost while the machine is down. */
    void wipe() {
        fleet().log(name() + " loses its disk");
        disk.wipe();
        disk.fill(false);
    }

    NodeSettings settings() {
        String text = SimulatedFleet.settings(name(), ip(), seeds, initialStart, durable);
        return NodeSettings.parse(durable ? text : text.replace("\"data_directory\":\"/data\"", NO_DISK));
    }

    @Override
    boolean begin(ProcessIncarnation begun) {
        executor = new SimulatedDiskExecutor(fleet().time(), begun, disk, diskFaults, random().split());
        incarnationName = name() + "#" + incarnationCount();
        try {
            process = new ControlProcess(settings(), new Given(begun), FleetMessages.codec(), () -> diskUsable(begun));
        } catch (IOException e) {
            fleet().log(name() + ": " + e.getMessage());
            return false;
        }
        initialStart = initialStart && (settingsStayInitial || process.isDiskRefused());
        process.start();
        return true;
    }

    /** The process ends itself and begins anew with the same settings. */
    private void diskUsable(ProcessIncarnation withoutDisk) {
        fleet().time().after(0, () -> {
            if (incarnation() == withoutDisk) {
                kill();
                start();
            }
        });
    }

    @Override
    void ended(boolean powerLost) {
        executor.die();
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

    /** SIGTERM: ends in order and is started again after a while. */
    void terminate(double pause) {
        ProcessIncarnation ending = incarnation();
        fleet().log(name() + " is told to end");
        process.drain(() -> fleet().time().after(0, () -> {
            if (incarnation() == ending) {
                kill();
                fleet().time().after(pause, this::start);
            }
        }));
    }

    private final class Given implements ControlProcess.Surroundings {
        private final ProcessIncarnation begun;
        private final MessageTransport transport;

        Given(ProcessIncarnation begun) {
            this.begun = begun;
            this.transport = fleet().network().transport(ControlMachine.this, begun);
        }

        @Override
        public Scheduler scheduler() {
            return begun;
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
        public void list(Consumer<List<Endpoint>> then) {
            fleet().platform().fetchInstances(ControlMachine.this, begun, then);
        }
    }
}
