package dewplank.fleet.soak;

import dewplank.emulator.fleet.FleetBounds;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.MachineClass;
import dewplank.fleet.FleetHarness;
import dewplank.fleet.process.HostileBytes;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Runs the steps of one process on one thread. */
final class ProcessStepRunner {
    private static final int MAX_SETTINGS_DELAY_MS = 600;

    private final FleetHarness harness;
    private final FleetProcess process;
    private final Random random;

    /** Creates a runner; {@code seed} determines which seed nodes changed settings files list. */
    ProcessStepRunner(FleetHarness harness, FleetProcess process, long seed) {
        this.harness = harness;
        this.process = process;
        this.random = new Random(seed);
    }

    void run(ProcessStep step) throws Exception {
        switch (step.kind()) {
            case TERMINATE -> terminate();
            case KILL -> process.kill();
            case START -> process.restart();
            case FREEZE -> process.pause();
            case THAW -> process.resume();
            case RELOAD -> {
                awaitListening();
                process.reload(randomSeeds());
            }
            case START_BEFORE_SETTINGS -> startBeforeSettings();
            case HOSTILE_BYTES -> HostileBytes.send(process.machine(), random);
            case RELOAD_UNREADABLE -> {
                awaitListening();
                process.reloadUnreadable();
            }
        }
    }

    private void startBeforeSettings() throws Exception {
        process.restartWithUnreadableSettings();
        Thread.sleep(random.nextInt(MAX_SETTINGS_DELAY_MS));
        process.completeSettings();
    }

    private void terminate() throws Exception {
        process.terminate();
        if (!process.awaitEnd(FleetBounds.GRACE_S)) {
            process.kill();
            throw new AssertionError(node() + " did not exit within the grace period after SIGTERM");
        }
    }

    /** Returns a random, non-empty selection of the fleet's seed nodes in random order. */
    private List<Integer> randomSeeds() {
        List<Integer> indexes = IntStream.range(0, process.seedCount()).boxed().collect(Collectors.toList());
        Collections.shuffle(indexes, random);
        return indexes.subList(0, 1 + random.nextInt(indexes.size()));
    }

    /** Waits until the program listens, as it then handles SIGHUP, which terminates a JVM by default. */
    private void awaitListening() throws Exception {
        harness.awaitState(node() + " is up", this::isListening);
    }

    private boolean isListening() {
        return process.machine().machineClass() == MachineClass.EDGE
                ? harness.fleet.readiness(process.machine()) != 0
                : !harness.operator().view(process.machine(), "/status").isEmpty();
    }

    private String node() {
        return process.machine().node();
    }

    /** Fails if the process has exited without a step that stops it. Call it after the last step. */
    void assertAlive() {
        if (!process.isAlive()) {
            throw new AssertionError(node() + " exited unexpectedly");
        }
    }
}
