package dewplank.fleet.process;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A state of the machine that passes does not end a process at its start: the process starts once it has passed. */
class StartDuringPassingStateTest {
    private static final AtomicInteger MACHINES =
            new AtomicInteger((int) (ProcessHandle.current().pid() % 50_000));
    private static final int TERMINATION_S = 5;

    @TempDir
    Path folder;

    private String address;

    @BeforeEach
    void chooseAddress() {
        int machine = MACHINES.getAndIncrement();
        address = "127.91." + (machine / 250 % 250) + "." + (1 + machine % 250);
    }

    @Test
    void aMissingDataDirectoryIsCreatedAtTheFirstStart() throws Exception {
        Path disk = folder.resolve("missing").resolve("disk");
        try (LoneProcess process = LoneProcess.controlPlane(address, folder)) {
            process.start(LoneProcess.controlSettings(address, disk, true));
            process.awaitLog("durable=true");
            assertTrue(Files.exists(disk.resolve("acceptor.mv")));
        }
    }

    /** The directory may be on a file system that is mounted late; meanwhile the process runs without a vote. */
    @Test
    void aMissingDataDirectoryIsUsedOnceItIsThere() throws Exception {
        Path disk = folder.resolve("late");
        try (LoneProcess process = LoneProcess.controlPlane(address, folder)) {
            process.start(LoneProcess.controlSettings(address, disk, false));
            process.awaitLog("serving without a vote");
            Files.createDirectory(disk);
            process.awaitLog("durable=true");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {LoneProcess.INTERNAL_PORT, LoneProcess.CONTROL_PORT})
    void aControlPlaneStartsOnceItsPortIsFree(int port) throws Exception {
        Path disk = Files.createDirectory(folder.resolve("disk"));
        try (LoneProcess process = LoneProcess.controlPlane(address, folder)) {
            try (ServerSocket taken = taken(port)) {
                process.start(LoneProcess.controlSettings(address, disk, true));
                process.awaitLog("702 ADDRESS_NOT_USABLE");
                assertTrue(taken.isBound());
            }
            process.awaitLog("durable=true");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {LoneProcess.FRONT_PORT, LoneProcess.READINESS_PORT})
    void aDataPlaneStartsOnceItsPortIsFree(int port) throws Exception {
        try (LoneProcess process = LoneProcess.dataPlane(address, folder)) {
            try (ServerSocket taken = taken(port)) {
                process.start(LoneProcess.dataSettings(address));
                process.awaitLog("702 ADDRESS_NOT_USABLE");
                assertTrue(taken.isBound());
            }
            process.awaitPort(LoneProcess.READINESS_PORT);
            process.awaitPort(LoneProcess.FRONT_PORT);
        }
    }

    @Test
    void aDataPlaneStartsOnceItsDatagramPortIsFree() throws Exception {
        try (LoneProcess process = LoneProcess.dataPlane(address, folder)) {
            try (DatagramSocket taken = new DatagramSocket(new InetSocketAddress(address, LoneProcess.GOSSIP_PORT))) {
                process.start(LoneProcess.dataSettings(address));
                process.awaitLog("702 ADDRESS_NOT_USABLE");
                assertTrue(taken.isBound());
            }
            process.awaitPort(LoneProcess.READINESS_PORT);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSettingsFileThatIsBeingWrittenIsReadAgain(boolean empty) throws Exception {
        String settings = LoneProcess.dataSettings(address);
        try (LoneProcess process = LoneProcess.dataPlane(address, folder)) {
            process.start(empty ? "" : settings.substring(0, settings.length() / 2));
            process.awaitLog("603 NOT_JSON");
            process.writeSettings(settings);
            process.awaitPort(LoneProcess.READINESS_PORT);
        }
    }

    @Test
    void completeButWrongSettingsEndTheStart() throws Exception {
        String settings = LoneProcess.dataSettings(address);
        try (LoneProcess process = LoneProcess.dataPlane(address, folder)) {
            process.start(settings.replace("\"drain_ms\":3000,", ""));
            assertTrue(process.awaitEnd(TERMINATION_S), process.log());
            assertTrue(process.log().contains("604 KEY_MISSING: bounds.drain_ms"), process.log());
        }
    }

    @Test
    void sigtermEndsAProcessThatWaitsForAPort() throws Exception {
        try (ServerSocket taken = taken(LoneProcess.FRONT_PORT);
                LoneProcess process = LoneProcess.dataPlane(address, folder)) {
            process.start(LoneProcess.dataSettings(address));
            process.awaitLog("702 ADDRESS_NOT_USABLE");
            process.signal("TERM");
            assertTrue(process.awaitEnd(TERMINATION_S));
            assertTrue(taken.isBound());
        }
    }

    /** Both would vote with the identity on the disk. */
    @Test
    void aSecondProcessOnADataDirectoryDoesNotVoteUntilTheFirstHasEnded() throws Exception {
        Path disk = Files.createDirectory(folder.resolve("disk"));
        String second = address.replaceFirst("127\\.91", "127.92");
        try (LoneProcess first = LoneProcess.controlPlane(address, folder);
                LoneProcess other = LoneProcess.controlPlane(second, folder)) {
            first.start(LoneProcess.controlSettings(address, disk, true));
            first.awaitLog("durable=true");
            other.start(LoneProcess.controlSettings(second, disk, false));
            other.awaitLog("durable=false");
            assertFalse(other.log().contains("durable=true"));
            first.close();
            other.awaitLog("durable=true");
        }
    }

    /** Nobody could tell from its output what such a process waits for. */
    @Test
    void aDataPlaneWithoutAControlPlaneSaysWhatItWaitsFor() throws Exception {
        try (LoneProcess process = LoneProcess.dataPlane(address, folder)) {
            process.start(LoneProcess.dataSettings(address));
            process.awaitLog("not serving yet waitingFor=[configuration, endpointList] openSessions=0");
        }
    }

    private ServerSocket taken(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getByName(address));
    }
}
