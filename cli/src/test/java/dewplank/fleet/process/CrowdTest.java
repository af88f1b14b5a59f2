package dewplank.fleet.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.MachineLimits;
import dewplank.fleet.FleetHarness;
import dewplank.fleet.Programs;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Crowds of clients that send requests of legal size and stay open. With lowered limits of heap and descriptors, the
 * process under a crowd lives, stays within its memory and descriptors, and answers an ordinary caller while the crowd
 * is there, after it has gone, and again with the same crowd.
 */
class CrowdTest {
    private static final MachineLimits LIMITS = new MachineLimits(128, 1_900);
    private static final String HEAP = "-Xmx32m";
    private static final long BYTES_PER_MIB = 1024 * 1024;
    private static final int MAX_TRIES = 10;
    private static final int RETRY_DELAY_MS = 500;
    private static final int SERVER_DELAY_MS = 4_000;

    private static final int HEAD_BYTES = 15_500;
    private static final int LONG_BODY_BYTES = 4_000_000;
    private static final int SHORT_BODY_BYTES = 15_000;
    private static final int ONE_BYTE_CHUNKS = 60_000;
    private static final int CHUNK_BYTES = 100_000;
    private static final int READ_AHEAD_BYTES = 70_000;

    /** What each client of a crowd at the front sends. */
    private enum FrontCrowd {
        NOTHING(900, ""),
        HALF_HEADS_OF_SHORT_FIELDS(900, head() + "a:\r\n".repeat(HEAD_BYTES / 4)),
        HALF_HEADS_OF_250_FIELDS(900, head() + "a:\r\n".repeat(250) + "b: " + "x".repeat(14_000)),
        HALF_HEADS_OF_ONE_FIELD(900, head() + "b: " + "x".repeat(HEAD_BYTES)),
        WHOLE_HEADS_OF_SHORT_FIELDS(900, head() + "a:\r\n".repeat(HEAD_BYTES / 4) + "\r\n"),
        WHOLE_HEADS_OF_250_FIELDS(900, head() + "a:\r\n".repeat(250) + "\r\n"),
        WHOLE_HEADS_OF_250_VALUES(900, head() + "a:b\r\n".repeat(250) + "\r\n"),
        WHOLE_HEADS_OF_ONE_FIELD(900, head() + "b: " + "x".repeat(HEAD_BYTES) + "\r\n\r\n"),
        WHOLE_HEADS_OF_CONNECTION_FIELDS(900, head() + "Connection: aa\r\n".repeat(HEAD_BYTES / 16) + "\r\n"),
        WHOLE_HEADS_OF_250_CONNECTION_FIELDS(
                600, head() + ("Connection: " + "a,".repeat(20) + "\r\n").repeat(250) + "\r\n"),
        WHOLE_HEADS_OF_EMPTY_LISTS(900, head() + "a: ,\r\n".repeat(HEAD_BYTES / 6) + "\r\n"),
        WHOLE_HEADS_OF_COOKIES(900, head() + "Cookie: a=\r\n".repeat(HEAD_BYTES / 12) + "\r\n"),
        LONG_BODIES_WITHOUT_THEIR_LAST_BYTE(40, withBody(LONG_BODY_BYTES, LONG_BODY_BYTES - 1)),
        SHORT_BODIES_WITHOUT_THEIR_LAST_BYTE(900, withBody(SHORT_BODY_BYTES, SHORT_BODY_BYTES - 1)),
        TINY_BODIES_WITHOUT_THEIR_LAST_BYTE(900, withBody(10, 9)),
        WHOLE_SHORT_BODIES(900, withBody(SHORT_BODY_BYTES, SHORT_BODY_BYTES)),
        WHOLE_LONG_BODIES(40, withBody(LONG_BODY_BYTES, LONG_BODY_BYTES)),
        ONE_BYTE_CHUNKS_WITHOUT_AN_END(300, chunked() + "1\r\nx\r\n".repeat(ONE_BYTE_CHUNKS)),
        LONG_CHUNKS_WITHOUT_AN_END(40, chunked() + longChunk().repeat(LONG_BODY_BYTES / CHUNK_BYTES)),
        WHOLE_HEADS_PIPELINED(300, (head() + "\r\n").repeat(READ_AHEAD_BYTES / (head().length() + 2)));

        private final int connections;
        private final byte[] bytes;

        FrontCrowd(int connections, String text) {
            this.connections = connections;
            this.bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** What each client of a crowd at the operators' port sends. */
    private enum ControlCrowd {
        NOTHING(1_100, ""),
        HALF_HEADS_OF_SHORT_FIELDS(1_100, "GET /status HTTP/1.1\r\n" + "a:\r\n".repeat(HEAD_BYTES / 4)),
        HALF_HEADS_OF_ONE_FIELD(1_100, "GET /status HTTP/1.1\r\nb: " + "x".repeat(HEAD_BYTES)),
        CHANGES_WITHOUT_THEIR_LAST_BYTE(40, change(LONG_BODY_BYTES) + "x".repeat(LONG_BODY_BYTES - 1)),
        WHOLE_CHANGES_THAT_ARE_INVALID(40, change(LONG_BODY_BYTES) + "[".repeat(LONG_BODY_BYTES)),
        ONE_BYTE_CHUNKS_WITHOUT_AN_END(300, changeInChunks() + "1\r\nx\r\n".repeat(ONE_BYTE_CHUNKS)),
        LONG_CHUNKS_WITHOUT_AN_END(40, changeInChunks() + longChunk().repeat(LONG_BODY_BYTES / CHUNK_BYTES));

        private final int connections;
        private final byte[] bytes;

        ControlCrowd(int connections, String text) {
            this.connections = connections;
            this.bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** What each client of a crowd at the readiness port sends. */
    private enum ReadinessCrowd {
        NOTHING(300, ""),
        HALF_HEADS(300, "GET /readiness HTTP/1.1\r\na: b"),
        HALF_HEADS_OF_SHORT_FIELDS(300, "GET /readiness HTTP/1.1\r\n" + "a:\r\n".repeat(HEAD_BYTES / 4)),
        BODIES_WITHOUT_THEIR_LAST_BYTE(
                300, "GET /readiness HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(59_999));

        private final int connections;
        private final byte[] bytes;

        ReadinessCrowd(int connections, String text) {
            this.connections = connections;
            this.bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private static String head() {
        return "POST " + LongService.ROUTE.prefix() + "x HTTP/1.1\r\nHost: " + LongService.ROUTE.host()
                + "\r\nX-Dewplank-Request-Attempt-Id: crowd\r\n";
    }

    private static String withBody(int length, int sent) {
        return head() + "Content-Length: " + length + "\r\n\r\n" + "x".repeat(sent);
    }

    private static String chunked() {
        return head() + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String longChunk() {
        return Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
    }

    private static String change(int length) {
        return "PUT /configuration HTTP/1.1\r\nHost: x\r\nIf-Match: 3\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String changeInChunks() {
        return "PUT /configuration HTTP/1.1\r\nHost: x\r\nIf-Match: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** A fleet with lowered limits; the server of the crowd's requests responds {@code serverDelayMs} late. */
    private static void withLimits(int serverDelayMs, FleetHarness.Scenario scenario) throws Exception {
        FleetHarness.run(Programs.commands(HEAP), LIMITS, 3, 1, harness -> {
            try (RawServer server = LongService.start(harness, 100, true, serverDelayMs)) {
                assertTrue(server.isListening());
                scenario.run(harness);
            }
        });
    }

    /** Holds a crowd twice, and asks for an ordinary answer with the crowd there and without it. */
    private static void holdTwice(
            FleetProcess process, InetSocketAddress to, int connections, byte[] bytes, BooleanSupplier ordinaryCall)
            throws Exception {
        for (int round = 0; round < 2; round++) {
            try (Crowd crowd = Crowd.open(to, connections, bytes)) {
                assertAnswered(process, "with the crowd, round " + round, ordinaryCall);
            }
            assertAnswered(process, "after the crowd, round " + round, ordinaryCall);
        }
    }

    /** A caller asks again a few times, as it does after a refusal; the process is within its bounds meanwhile. */
    private static void assertAnswered(FleetProcess process, String when, BooleanSupplier ordinaryCall)
            throws InterruptedException, IOException {
        boolean answered = false;
        for (int attempt = 0; attempt < MAX_TRIES && !answered; attempt++) {
            assertWithinBounds(process, when);
            answered = ordinaryCall.getAsBoolean();
            if (!answered) {
                Thread.sleep(RETRY_DELAY_MS);
            }
        }
        assertWithinBounds(process, when);
        assertTrue(answered, "no ordinary caller was answered " + when);
    }

    private static void assertWithinBounds(FleetProcess process, String when) throws IOException {
        assertTrue(process.isAlive(), "the process has ended " + when);
        ProcessUsage usage = ProcessUsage.of(process.pid());
        assertTrue(usage.peakMemoryBytes() <= LIMITS.memoryMb() * BYTES_PER_MIB, when + ": " + usage);
        assertTrue(usage.descriptors() <= LIMITS.maxFileDescriptors(), when + ": " + usage);
    }

    @ParameterizedTest
    @EnumSource(FrontCrowd.class)
    void aCrowdAtTheFront(FrontCrowd kind) throws Exception {
        withLimits(SERVER_DELAY_MS, harness -> {
            FleetProcess process = harness.fleet.data().get(0);
            InetSocketAddress front = process.machine().front();
            holdTwice(process, front, kind.connections, kind.bytes, () -> isServed(harness));
        });
    }

    private static boolean isServed(FleetHarness harness) {
        return harness.awaitOutcome(0, ClientRequest.plain(FleetHarness.READ, "ordinary"))
                .served();
    }

    @ParameterizedTest
    @EnumSource(ControlCrowd.class)
    void aCrowdAtTheOperatorsPort(ControlCrowd kind) throws Exception {
        withLimits(SERVER_DELAY_MS, harness -> {
            FleetProcess process = harness.control(0);
            InetSocketAddress control = process.machine().control();
            holdTwice(process, control, kind.connections, kind.bytes, () -> !harness.operator()
                    .view(process.machine(), "/status")
                    .isEmpty());
            assertEquals(200, Futures.await(harness.operator().put(LongService.configuration(9), 8, 0)));
        });
    }

    @ParameterizedTest
    @EnumSource(ReadinessCrowd.class)
    void aCrowdAtTheReadinessPort(ReadinessCrowd kind) throws Exception {
        withLimits(SERVER_DELAY_MS, harness -> {
            FleetProcess process = harness.fleet.data().get(0);
            InetSocketAddress readiness = process.machine().readiness();
            holdTwice(process, readiness, kind.connections, kind.bytes, () -> isReady(harness));
        });
    }

    private static boolean isReady(FleetHarness harness) {
        return harness.fleet.readiness(harness.fleet.dataMachine(0)) == 200;
    }

    /** Each of these requests is inside the limits of the configuration, so that a process in calm serves it. */
    @Test
    void aSingleRequestInsideTheLimitsIsServed() throws Exception {
        withLimits(0, harness -> {
            InetSocketAddress front = harness.fleet.dataMachine(0).front();
            assertServed(front, head() + "a:\r\n".repeat(HEAD_BYTES / 4) + "\r\n");
            assertServed(front, head() + "a:\n".repeat(HEAD_BYTES / 3) + "\r\n");
            assertServed(front, head() + "Connection: aa\r\n".repeat(HEAD_BYTES / 16) + "\r\n");
            assertServed(front, head() + "a: ,\r\n".repeat(HEAD_BYTES / 6) + "\r\n");
            assertServed(front, head() + "Cookie: a=\r\n".repeat(HEAD_BYTES / 12) + "\r\n");
            assertServed(front, head() + "b: " + "x".repeat(HEAD_BYTES) + "\r\n\r\n");
            assertServed(front, chunked() + "1;" + "e".repeat(400) + "\r\nx\r\n0\r\n\r\n");
            assertServed(front, chunked() + "1\r\nx\r\n".repeat(400_000) + "0\r\n\r\n");
            assertServed(front, chunked() + ("1;" + "e".repeat(400) + "\r\nx\r\n").repeat(100) + "0\r\n\r\n");
            assertServed(front, chunked() + "0\r\n" + "a: b\r\n".repeat(HEAD_BYTES / 6) + "\r\n");
            assertServed(front, withBody(4_194_304, 4_194_304));
            assertServed(front, chunked() + longChunk().repeat(41) + "0\r\n\r\n");
        });
    }

    private static void assertServed(InetSocketAddress front, String request) throws IOException {
        try (RawClient client = new RawClient(front)) {
            client.send(request.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(
                    200,
                    client.read().status(),
                    request.length() + " bytes: " + request.substring(0, Math.min(300, request.length())));
        }
    }
}
