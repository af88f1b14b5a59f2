package dewplank.fleet.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.fleet.FleetHarness;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;

/**
 * No byte that a peer, client or server sends ends a process with the deployed JVM flags, which exit on an exhausted
 * heap. Each test checks that the fleet's processes run and serve afterwards.
 */
class HostileBytesTest {
    private static final int FRAME_BYTES = 8 * 1024 * 1024;
    private static final int FLEET_UPDATE = 4;
    private static final int INTERNAL_PORT = 17_660;
    private static final int LONG_BODY_BYTES = 4_000_000;
    /** Routes of the stand-in operator have 300 bytes each. */
    private static final int LONG_CONFIGURATION_ROUTES = 12_000;

    private static final int SLOW_RESPONSE_BYTES = 16_000_000;
    private static final int SLOW_BYTES_PER_S = 12_000_000;
    private static final RouteSpec LONG = LongService.ROUTE;

    private interface Attack {
        void run(FleetHarness harness) throws Exception;
    }

    /** Runs an attack on a fleet, after which all processes have to run, serve, and accept a change. */
    private static void survives(Attack attack) throws Exception {
        FleetHarness.run(3, 1, harness -> {
            attack.run(harness);
            harness.awaitReady();
            harness.assertServed(0, ClientRequest.plain(FleetHarness.READ, "after"));
            FleetConfiguration next = FleetHarness.INITIAL.with(9, FleetHarness.READ);
            assertEquals(200, Futures.await(harness.operator().put(next, FleetHarness.INITIAL.version(), 0)));
            assertRunning(harness);
        });
    }

    private static void assertRunning(FleetHarness harness) {
        List<FleetProcess> processes = new ArrayList<>(harness.control());
        processes.addAll(harness.fleet.data());
        processes.forEach(
                process -> assertTrue(process.isAlive(), process.machine().node() + " has ended"));
    }

    private static InetSocketAddress internal(FleetHarness harness, int control) {
        return new InetSocketAddress(harness.control(control).machine().address(), INTERNAL_PORT);
    }

    private static byte[] frameHead(int length, int type) {
        return ByteBuffer.allocate(Integer.BYTES + 1)
                .putInt(length)
                .put((byte) type)
                .array();
    }

    /** A field whose length exceeds the body: 20 bytes ended a control plane. */
    @Test
    void aFrameWithALengthBeyondItsBody() throws Exception {
        byte[] body = HexFormat.of().parseHex("0affffffff079a05195b4a6401581c");
        survives(harness -> {
            for (int control = 0; control < 3; control++) {
                for (int type = 0; type < 20; type++) {
                    try (RawClient client = new RawClient(internal(harness, control))) {
                        client.send(frameHead(body.length, type), body);
                    }
                }
            }
            Thread.sleep(500);
        });
    }

    /** 13 heads of frames ended a control plane. */
    @Test
    void headsOfLongFramesWithoutBodies() throws Exception {
        survives(harness -> sendToInternalPort(harness, 300, frameHead(FRAME_BYTES, FLEET_UPDATE)));
    }

    /** 11 frames without their last byte ended a control plane. */
    @Test
    void longFramesThatNeverEnd() throws Exception {
        survives(harness ->
                sendToInternalPort(harness, 40, frameHead(FRAME_BYTES, FLEET_UPDATE), new byte[FRAME_BYTES - 1]));
    }

    private static void sendToInternalPort(FleetHarness harness, int connections, byte[]... parts) throws IOException {
        List<RawClient> clients = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            RawClient client = new RawClient(internal(harness, 0));
            clients.add(client);
            client.send(parts);
        }
        close(clients);
    }

    /** 22 of these ended a control plane. */
    @Test
    void longChangesOfOperatorsThatNeverEnd() throws Exception {
        byte[] head = ("PUT /configuration HTTP/1.1\r\nHost: x\r\nIf-Match: 3\r\nContent-Length: " + LONG_BODY_BYTES
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        survives(harness -> {
            List<RawClient> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                RawClient client = new RawClient(harness.control(0).machine().control());
                clients.add(client);
                client.send(head, new byte[LONG_BODY_BYTES - 1]);
            }
            close(clients);
        });
    }

    /** Nested deeply, or not JSON at all. */
    @Test
    void changesThatAreNoConfiguration() throws Exception {
        byte[] nested = "[".repeat(2_000_000).getBytes(StandardCharsets.US_ASCII);
        byte[] objects = "{\"a\":".repeat(400_000).getBytes(StandardCharsets.US_ASCII);
        survives(harness -> {
            for (byte[] body : List.of(nested, objects, new byte[LONG_BODY_BYTES])) {
                try (RawClient client =
                        new RawClient(harness.control(0).machine().control())) {
                    client.send(
                            ("PUT /configuration HTTP/1.1\r\nHost: x\r\nIf-Match: 3\r\nContent-Length: " + body.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII),
                            body);
                    int status = client.read().status();
                    assertTrue(status >= 400, "status " + status);
                }
            }
        });
    }

    /** Several configurations of nearly the longest text, of which one is accepted. Two ended a control plane. */
    @Test
    void longConfigurationsAtOnce() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            List<CompletableFuture<Integer>> changes = new ArrayList<>();
            for (int change = 0; change < 4; change++) {
                List<RouteSpec> routes = new ArrayList<>(FleetHarness.INITIAL.routes());
                for (int route = 0; route < LONG_CONFIGURATION_ROUTES; route++) {
                    routes.add(RouteSpec.to("plain", "r" + change + "x" + route, RouteSpec.Kind.SAFE));
                }
                FleetConfiguration next = new FleetConfiguration(20 + change, routes, FleetHarness.INITIAL.services());
                changes.add(harness.operator().put(next, FleetHarness.INITIAL.version(), change));
            }
            long accepted = changes.stream()
                    .map(Futures::await)
                    .filter(status -> status == 200)
                    .count();
            assertTrue(accepted <= 1, accepted + " accepted");
            harness.awaitReady();
            harness.assertServed(0, ClientRequest.plain(FleetHarness.READ, "after"));
            harness.assertServed(1, ClientRequest.plain(FleetHarness.READ, "after"));
            assertRunning(harness);
        });
    }

    /** Many short fields take far more memory than their bytes. */
    @Test
    void headsOfManyFieldsThatNeverEnd() throws Exception {
        byte[] head = ("POST / HTTP/1.1\r\n" + "a:\r\n".repeat(250) + "b: " + "x".repeat(14_000))
                .getBytes(StandardCharsets.US_ASCII);
        survives(harness -> {
            List<RawClient> clients = new ArrayList<>();
            for (int i = 0; i < 1_800; i++) {
                RawClient client = new RawClient(harness.fleet.dataMachine(0).front());
                clients.add(client);
                client.send(head);
            }
            close(clients);
        });
    }

    /** Review case 1: kept connections held on to the longest body that they had carried. */
    @Test
    void longBodiesOverKeptConnections() throws Exception {
        withLongService(100, true, harness -> {
            List<RawClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                RawClient client = new RawClient(harness.fleet.dataMachine(0).front());
                clients.add(client);
                assertTrue(client.post(LONG.host(), LONG.prefix() + "x", "kept" + i, LONG_BODY_BYTES));
                assertEquals(200, client.read().status(), "request " + i);
            }
            close(clients);
        });
    }

    /** Bodies that arrive at the same time are accepted up to a limit; the others are told to retry. */
    @Test
    void longBodiesAtOnce() throws Exception {
        withLongService(100, true, harness -> {
            List<RawClient.Response> responses = atOnce(harness, 60, LONG_BODY_BYTES);
            assertTrue(responses.stream().anyMatch(response -> response.status() == 200), responses.toString());
        });
    }

    /** Review case 4: whole responses were collected before their first byte was sent. */
    @Test
    void longResponsesAtOnce() throws Exception {
        withLongService(LONG_BODY_BYTES, true, harness -> {
            List<RawClient.Response> responses = atOnce(harness, 60, 600);
            responses.forEach(response -> assertEquals(new RawClient.Response(200, LONG_BODY_BYTES), response));
        });
    }

    @Test
    void longResponsesWithoutALengthAtOnce() throws Exception {
        withLongService(LONG_BODY_BYTES, false, harness -> {
            List<RawClient.Response> responses = atOnce(harness, 40, 600);
            responses.forEach(response -> assertEquals(new RawClient.Response(200, LONG_BODY_BYTES), response));
        });
    }

    /** Each response stays below the size from which it is relayed while it arrives; together they exceed the heap. */
    @Test
    void manyMiddlingResponsesAtOnce() throws Exception {
        withLongService(250_000, true, harness -> {
            List<RawClient.Response> responses = atOnce(harness, 600, 100);
            responses.forEach(response -> assertEquals(new RawClient.Response(200, 250_000), response));
        });
    }

    /** Reading from the server pauses while a client is slow; the connection is used again afterwards. */
    @Test
    void responsesToASlowClient() throws Exception {
        withLongService(SLOW_RESPONSE_BYTES, true, harness -> {
            try (RawClient client = new RawClient(harness.fleet.dataMachine(0).front())) {
                for (int i = 0; i < 4; i++) {
                    client.post(LONG.host(), LONG.prefix() + "x", "slow" + i, 100);
                    assertEquals(SLOW_RESPONSE_BYTES, client.readSlowly(SLOW_RESPONSE_BYTES, SLOW_BYTES_PER_S));
                }
            }
        });
    }

    private static void withLongService(int responseBytes, boolean sendsLength, Attack attack) throws Exception {
        FleetHarness.run(3, 1, harness -> {
            try (RawServer server = LongService.start(harness, responseBytes, sendsLength, 0)) {
                attack.run(harness);
                assertTrue(server.isListening());
            }
            harness.assertServed(0, ClientRequest.plain(FleetHarness.READ, "after"));
            assertRunning(harness);
        });
    }

    /** Sends requests at the same time and returns their responses. */
    private static List<RawClient.Response> atOnce(FleetHarness harness, int requests, int bodyBytes) {
        ExecutorService threads = Executors.newFixedThreadPool(requests);
        try {
            List<CompletableFuture<RawClient.Response>> responses = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                String id = "once" + i;
                responses.add(CompletableFuture.supplyAsync(
                        () -> {
                            try (RawClient client =
                                    new RawClient(harness.fleet.dataMachine(0).front())) {
                                client.post(LONG.host(), LONG.prefix() + "x", id, bodyBytes);
                                return client.read();
                            } catch (IOException e) {
                                return new RawClient.Response(0, 0);
                            }
                        },
                        threads));
            }
            return responses.stream().map(CompletableFuture::join).toList();
        } finally {
            threads.shutdown();
        }
    }

    private static void close(List<RawClient> clients) throws IOException {
        for (RawClient client : clients) {
            client.close();
        }
    }
}
