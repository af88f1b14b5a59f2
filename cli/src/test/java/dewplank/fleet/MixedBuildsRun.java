package dewplank.fleet;

import static dewplank.fleet.FleetHarness.INITIAL;
import static dewplank.fleet.FleetHarness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.emulator.fleet.StandInFleet;
import dewplank.emulator.fleet.SteadyLoad;
import dewplank.emulator.fleet.TenantSpec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs processes of an earlier build together with processes of this build, as during a rolling upgrade. Surefire's
 * patterns don't match the name of this class, because it needs the jar of the earlier build:
 *
 * <pre>
 * mvn -o -pl cli -am test -Dtest=MixedBuildsRun -Dearlier.jar=FILE -Dsurefire.failIfNoSpecifiedTests=false
 * </pre>
 */
class MixedBuildsRun {
    private static final String EARLIER_JAR = System.getProperty("earlier.jar");
    private static final int CONTROL_PLANES = 3;
    private static final int DATA_PLANES = 3;
    /**
     * The maximum number of lease holders that are killed. The next holder may run either build, so several moves
     * may be needed until the lease has moved in both directions.
     */
    private static final int MAX_LEASE_MOVES = 30;

    private static final int RATE_PER_S = 200;
    private static final int BURST = 100;
    private static final int EXIT_TIMEOUT_S = 10;

    private static final RouteSpec OPEN =
            RouteSpec.to("plain", "open", RouteSpec.Kind.SAFE).withPublicAccess();
    private static final TenantSpec LIMITED =
            TenantSpec.unlimited("acme", "k-acme").withLimit(RATE_PER_S, BURST);
    private static final ClientRequest PUBLIC = ClientRequest.plain(OPEN, "public");
    private static final ClientRequest OF_LIMITED_TENANT =
            ClientRequest.plain(READ, "acme").withAccessKey("k-acme");

    /** Reads the class path from a file named after the node; a node without such a file runs the earlier build. */
    private static final String LAUNCHER =
            """
            builds=$1 earlier=$2 program=$3
            shift 3
            node=$(basename "$DEWPLANK_NODE_FILE" .json)
            if [ -f "$builds/$node" ]; then classes=$(cat "$builds/$node"); else classes=$earlier; fi
            exec "$@" -cp "$classes" dewplank.Main "$program"
            """;

    @TempDir
    Path builds;

    private long version = INITIAL.version();

    @Test
    void thisBuildStartsOnTheDataDirectoriesAndSettingsOfTheEarlierOne() throws Exception {
        run(harness -> {
            putTenants(harness);
            harness.killAllControl();
            for (FleetProcess process : harness.control()) {
                useThisBuild(process);
            }
            harness.restartAllControl();
            harness.assertReadBack(version, 0);
            change(harness, 1);
            harness.assertReadBack(version, 2);
            assertServedEverywhere(harness);
        });
    }

    @Test
    void bothBuildsServeChangeTheConfigurationMoveRolesAndQuotaSharesAndReload() throws Exception {
        run(harness -> {
            putTenants(harness);
            upgrade(harness, harness.control(0));
            upgradeDataPlane(harness, harness.fleet.data().get(0));
            SteadyLoad load = harness.fleet.load(List.of(PUBLIC));
            changeThroughEach(harness);
            assertServedEverywhere(harness);
            moveLeaseBetweenBuilds(harness);
            reloadAll(harness);
            load.stop();
            assertEquals(0, load.notServed());
        });
    }

    private void run(FleetHarness.Scenario scenario) throws Exception {
        Objects.requireNonNull(EARLIER_JAR, "-Dearlier.jar names the jar of the earlier build");
        assertTrue(Files.exists(Path.of(EARLIER_JAR)), EARLIER_JAR);
        FleetHarness.run(
                new StandInFleet.Commands(command("control-plane"), command("data-plane")),
                CONTROL_PLANES,
                DATA_PLANES,
                scenario);
    }

    private List<String> command(String program) {
        List<String> command = new ArrayList<>(List.of("sh", "-c", LAUNCHER, "launcher"));
        command.addAll(List.of(builds.toString(), EARLIER_JAR, program));
        command.addAll(Programs.java());
        return command;
    }

    private void useThisBuild(FleetProcess process) throws IOException {
        Files.writeString(builds.resolve(process.machine().node()), System.getProperty("java.class.path"));
    }

    private boolean isThisBuild(FleetProcess process) {
        return Files.exists(builds.resolve(process.machine().node()));
    }

    private void putTenants(FleetHarness harness) throws Exception {
        version++;
        harness.putConfiguration(configuration(), INITIAL.version(), 0);
        awaitApplied(harness);
        assertServedEverywhere(harness);
    }

    private FleetConfiguration configuration() {
        return INITIAL.with(version, OPEN).withTenants(version, LIMITED);
    }

    private void change(FleetHarness harness, int first) throws Exception {
        long base = version++;
        harness.putConfiguration(configuration(), base, first);
        awaitApplied(harness);
    }

    /** Waits until every control plane has the version, and every data plane serves the tenant and the public route. */
    private void awaitApplied(FleetHarness harness) throws Exception {
        for (FleetProcess process : harness.control()) {
            harness.awaitState(
                    "version " + version + " at " + process.machine().node(),
                    () -> harness.reportsVersion(process, version));
        }
        for (int edge = 0; edge < DATA_PLANES; edge++) {
            awaitServed(harness, edge, OF_LIMITED_TENANT);
            awaitServed(harness, edge, PUBLIC);
        }
    }

    private static void awaitServed(FleetHarness harness, int edge, ClientRequest request) throws Exception {
        harness.awaitState(request.target() + " served at edge " + edge, () -> harness.awaitOutcome(edge, request)
                .served());
    }

    /** Requests of the limited tenant are served only with a token from a control plane that has a quota share. */
    private static void assertServedEverywhere(FleetHarness harness) throws Exception {
        for (int edge = 0; edge < DATA_PLANES; edge++) {
            awaitServed(harness, edge, OF_LIMITED_TENANT);
            harness.assertServed(edge, PUBLIC);
        }
    }

    private void changeThroughEach(FleetHarness harness) throws Exception {
        for (int control = 0; control < CONTROL_PLANES; control++) {
            change(harness, control);
            for (int reader = 0; reader < CONTROL_PLANES; reader++) {
                harness.assertReadBack(version, reader);
            }
        }
    }

    private void upgrade(FleetHarness harness, FleetProcess process) throws Exception {
        process.terminate();
        assertTrue(process.awaitEnd(EXIT_TIMEOUT_S), process.machine().node());
        useThisBuild(process);
        restart(harness, process);
    }

    private void upgradeDataPlane(FleetHarness harness, FleetProcess process) throws Exception {
        process.terminate();
        assertTrue(process.awaitEnd(EXIT_TIMEOUT_S), process.machine().node());
        useThisBuild(process);
        process.restart();
        harness.awaitReadiness(process.machine(), 200);
    }

    private void restart(FleetHarness harness, FleetProcess process) throws Exception {
        process.restart();
        harness.awaitState("version at " + process.machine().node(), () -> harness.reportsVersion(process, version));
    }

    /** Kills lease holders until the lease has moved from each build to the other. */
    private void moveLeaseBetweenBuilds(FleetHarness harness) throws Exception {
        boolean fromEarlier = false;
        boolean fromThis = false;
        for (int move = 0; move < MAX_LEASE_MOVES && !(fromEarlier && fromThis); move++) {
            FleetHarness.Lease lease = harness.awaitLease();
            lease.holder().kill();
            FleetHarness.Lease next = harness.awaitLease();
            assertTrue(next.fencingToken() > lease.fencingToken(), next + " after " + lease);
            fromEarlier |= !isThisBuild(lease.holder()) && isThisBuild(next.holder());
            fromThis |= isThisBuild(lease.holder()) && !isThisBuild(next.holder());
            restart(harness, lease.holder());
            change(harness, harness.indexOf(lease.holder()));
            assertServedEverywhere(harness);
        }
        assertTrue(fromEarlier && fromThis, "the lease did not move from each build to the other");
    }

    /** Sends SIGHUP to every process after writing a settings file with fewer seeds. */
    private void reloadAll(FleetHarness harness) throws Exception {
        List<FleetProcess> processes = new ArrayList<>(harness.control());
        processes.addAll(harness.fleet.data());
        for (FleetProcess process : processes) {
            process.reload(List.of(1, 2));
            harness.awaitState("reload of " + process.machine().node(), () -> hasReloaded(process));
        }
        change(harness, 0);
        assertServedEverywhere(harness);
    }

    private static boolean hasReloaded(FleetProcess process) {
        try {
            return Files.readString(process.log()).contains("settings reloaded");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
