package dewplank.emulator.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.Clients;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the emulator's sockets and the measurement of its delays, without a running sidecar. */
class LoopbackTest {
    private static final int MAX_WAIT_S = 20;
    private static final int MAX_CONNECTIONS = 100;
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;

    LoopbackTest() throws Exception {
        loop = new EventLoop();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private static void await(CountDownLatch latch) throws InterruptedException {
        assertTrue(latch.await(MAX_WAIT_S, TimeUnit.SECONDS));
    }

    /** If the emulator itself is delayed, the run must be invalid, because its figures do not describe the sidecar. */
    @Test
    void aStalledLoopMakesTheRunInvalid() throws Exception {
        RealTime time = new RealTime(loop);
        CountDownLatch stallEnded = new CountDownLatch(1);
        loop.execute(() -> {
            time.monitorLateness();
            time.after(50, () -> {
                try {
                    Thread.sleep(500); // the stall that must be detected
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                time.after(30, stallEnded::countDown);
            });
        });
        assertFalse(time.isRunInvalid());
        await(stallEnded);
        assertTrue(time.isRunInvalid(), () -> "maximum delay in ms: " + time.maxLatenessMs());
    }

    @Nested
    class HttpClientTests {
        private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

        private HttpClient clientOf(Supplier<HttpEndpoint> endpoints, int maxConnections) throws Exception {
            InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            Listener listener = new Listener(loop, anyPort, MAX_CONNECTIONS, endpoints);
            loop.execute(listener::accept);
            return new HttpClient(loop, (InetSocketAddress) listener.address(), maxConnections);
        }

        private static ByteBuffer request() {
            return MessageWriter.request("GET", "/", "x").noBody();
        }

        private void call(HttpClient client) {
            loop.execute(() -> client.call(
                    request(),
                    response -> responses.add(response.map(
                                    complete -> Integer.toString(complete.head().status()))
                            .orElse("broken"))));
        }

        private String nextResponse() throws InterruptedException {
            return responses.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        }

        /** If the server closes a connection before it reads a request, the client resends it on a new connection. */
        @Test
        void resendsARequestOnceIfItsReusedConnectionWasClosed() throws Exception {
            int[] requests = new int[1];
            HttpClient client = clientOf(
                    () -> new HttpEndpoint() {
                        private int requestsHere;

                        @Override
                        protected void onRequest(RequestParser request) {
                            requests[0]++;
                            if (++requestsHere == 2) {
                                close(); // responds to the first request, closes on the second
                            } else {
                                respond(MessageWriter.response(200).body(NO_BODY));
                            }
                        }
                    },
                    5);
            call(client);
            assertEquals("200", nextResponse());
            call(client);
            assertEquals("200", nextResponse());
            assertEquals(3, requests[0]);
            assertEquals(2, client.openedConnections());
        }

        @Test
        void queuesCallsBeyondItsLimitUntilACallIsCancelled() throws Exception {
            List<Runnable> pendingResponses = new CopyOnWriteArrayList<>();
            CountDownLatch first = new CountDownLatch(1);
            CountDownLatch second = new CountDownLatch(2);
            HttpClient client = clientOf(
                    () -> new HttpEndpoint() {
                        @Override
                        protected void onRequest(RequestParser request) {
                            pendingResponses.add(
                                    () -> respond(MessageWriter.response(200).body(NO_BODY)));
                            first.countDown();
                            second.countDown();
                        }
                    },
                    1);
            HttpClient.Call[] calls = new HttpClient.Call[1];
            loop.execute(() ->
                    calls[0] = client.call(request(), response -> responses.add("response to the cancelled call")));
            await(first);
            call(client);
            int[] waiting = new int[1];
            CountDownLatch cancelled = new CountDownLatch(1);
            loop.execute(() -> {
                waiting[0] = client.queuedCalls();
                calls[0].cancel();
                cancelled.countDown();
            });
            await(cancelled);
            assertEquals(1, waiting[0]);
            await(second);
            loop.execute(() -> pendingResponses.get(1).run());
            assertEquals("200", nextResponse());
        }
    }

    @Test
    void aSidecarThatDoesNotStartFailsTheRunWithAMessageThatNamesTheLogFolder() throws Exception {
        LoopbackRun.Observer observer = new LoopbackRun.Observer() {
            @Override
            public Clients.OutcomeListener begin(EmulatedEnvironment environment) {
                throw new AssertionError("the run must not begin");
            }

            @Override
            public void record(RecordedEvent event) {}
        };
        try (LoopbackRun run = new LoopbackRun(ScenarioFile.named("try"), 1, List.of("false"), observer)) {
            String message = assertThrows(IllegalStateException.class, run::run).getMessage();
            assertTrue(message.startsWith("sidecar 0 did not become ready; the sidecars' logs are in "), message);
        }
    }

    @Test
    void eachPairOfSidecarAndServerHasASeparateAddress() {
        assertEquals("127.64.0.1:0", Addresses.format(Addresses.server(0, 0, 9)));
        assertEquals("127.64.0.10:0", Addresses.format(Addresses.server(1, 0, 9)));
        assertEquals("127.65.0.1:0", Addresses.format(Addresses.server(62_500, 0, 1)));
        assertThrows(IllegalArgumentException.class, () -> Addresses.server(100_000, 0, 1_000));
    }
}
