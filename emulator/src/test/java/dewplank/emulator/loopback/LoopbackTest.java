package dewplank.emulator.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.World;
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

/** The emulator's own sockets and its watch over its own lateness; no sidecar runs. */
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

    /** An emulator that is late itself must report it: its figures are not the sidecar's. */
    @Test
    void aStalledLoopMarksTheRunUnsound() throws Exception {
        RealTime time = new RealTime(loop);
        CountDownLatch stallIsOver = new CountDownLatch(1);
        loop.execute(() -> {
            time.monitorLateness();
            time.after(50, () -> {
                try {
                    Thread.sleep(500); // this delay is what is tested
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                time.after(30, stallIsOver::countDown);
            });
        });
        assertFalse(time.isUnsound());
        await(stallIsOver);
        assertTrue(time.isUnsound(), () -> "latest " + time.maxLatenessMs());
    }

    @Nested
    class TheClient {
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
                                    answer -> Integer.toString(answer.head().status()))
                            .orElse("broken"))));
        }

        private String nextResponse() throws InterruptedException {
            return responses.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        }

        /** A close that crosses a request which was not read does no harm: it is sent again on a new connection. */
        @Test
        void resendsARequestOnceWhoseReusedConnectionWasClosed() throws Exception {
            int[] requests = new int[1];
            HttpClient client = clientOf(
                    () -> new HttpEndpoint() {
                        private int requestsHere;

                        @Override
                        protected void request(RequestParser request) {
                            requests[0]++;
                            if (++requestsHere == 2) {
                                close(); // each connection answers once and ends under its second request
                            } else {
                                answer(MessageWriter.response(200).body(NO_BODY));
                            }
                        }
                    },
                    5);
            call(client);
            assertEquals("200", nextResponse());
            call(client);
            assertEquals("200", nextResponse());
            assertEquals(3, requests[0]);
            assertEquals(2, client.opened());
        }

        @Test
        void queuesCallsBeyondItsBoundUntilACancelledOneMakesRoom() throws Exception {
            List<Runnable> pendingAnswers = new CopyOnWriteArrayList<>();
            CountDownLatch first = new CountDownLatch(1);
            CountDownLatch second = new CountDownLatch(2);
            HttpClient client = clientOf(
                    () -> new HttpEndpoint() {
                        @Override
                        protected void request(RequestParser request) {
                            pendingAnswers.add(
                                    () -> answer(MessageWriter.response(200).body(NO_BODY)));
                            first.countDown();
                            second.countDown();
                        }
                    },
                    1);
            HttpClient.Call[] calls = new HttpClient.Call[1];
            loop.execute(() -> calls[0] = client.call(request(), response -> responses.add("the cancelled one")));
            await(first);
            call(client);
            int[] waiting = new int[1];
            CountDownLatch cancelled = new CountDownLatch(1);
            loop.execute(() -> {
                waiting[0] = client.waiting();
                calls[0].cancel();
                cancelled.countDown();
            });
            await(cancelled);
            assertEquals(1, waiting[0]);
            await(second);
            loop.execute(() -> pendingAnswers.get(1).run());
            assertEquals("200", nextResponse());
        }
    }

    @Test
    void aSidecarThatDoesNotStartEndsTheRunWithItsLogNamed() throws Exception {
        LoopbackRun.Observer observer = new LoopbackRun.Observer() {
            @Override
            public Clients.OutcomeListener begin(World world) {
                throw new AssertionError("it must not begin");
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
    void eachPairOfASidecarAndAServerHasAnAddressOfItsOwn() {
        assertEquals("127.64.0.1:0", Addresses.format(Addresses.server(0, 0, 9)));
        assertEquals("127.64.0.10:0", Addresses.format(Addresses.server(1, 0, 9)));
        assertEquals("127.65.0.1:0", Addresses.format(Addresses.server(62_500, 0, 1)));
        assertThrows(IllegalArgumentException.class, () -> Addresses.server(100_000, 0, 1_000));
    }
}
