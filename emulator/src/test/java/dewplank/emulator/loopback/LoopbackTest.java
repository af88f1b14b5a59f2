package dewplank.emulator.loopback;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.World;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.http.MessageWriter;
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
import org.junit.After;
import org.junit.Test;

public class LoopbackTest {
    private static final int PATIENCE_S = 20;
    private final EventLoop loop;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    public LoopbackTest() throws Exception {
        loop = new EventLoop();
    }

    @After
    public void stop() {
        loop.stop();
    }

    private InetSocketAddress listen(java.util.function.Supplier<HttpEndpoint> ends) throws Exception {
        Listener listener = new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100, ends);
        loop.execute(listener::accept);
        return (InetSocketAddress) listener.address();
    }

    private static ByteBuffer request() {
        return MessageWriter.request("GET", "/", "x").noBody();
    }

    private String next() throws Exception {
        return answers.poll(PATIENCE_S, TimeUnit.SECONDS);
    }

    private void call(HttpClient client) {
        loop.execute(() -> client.call(
                request(),
                response ->
                        answers.add(response.map(r -> "" + r.head().status()).orElse("broken"))));
    }

    /** An emulator that is late itself must say so: its figures are not the sidecar's. */
    @Test
    public void aLoopThatWasHeldUpMarksTheRunUnsound() throws Exception {
        RealTime time = new RealTime(loop);
        CountDownLatch held = new CountDownLatch(1);
        loop.execute(() -> {
            time.monitorLateness();
            time.after(50, () -> {
                try {
                    Thread.sleep(500); // this delay is what is tested
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                time.after(30, held::countDown);
            });
        });
        assertFalse(time.isUnsound());
        assertTrue(held.await(PATIENCE_S, TimeUnit.SECONDS));
        assertTrue("latest " + time.maxLatenessMs(), time.isUnsound());
    }

    /** A close that crosses a request which was not read harms nobody: it goes once more, on a new connection. */
    @Test
    public void aKeptConnectionClosedUnderACallIsReplacedOnce() throws Exception {
        int[] requests = new int[1];
        HttpClient client = new HttpClient(
                loop,
                listen(() -> new HttpEndpoint() {
                    private int mine;

                    @Override
                    protected void request(dewplank.http.RequestParser request) {
                        requests[0]++;
                        if (++mine == 2) {
                            close(); // each connection answers once and ends under its second request
                        } else {
                            answer(MessageWriter.response(200).body(new byte[0]));
                        }
                    }
                }),
                5);
        call(client);
        assertEquals("200", next());
        call(client);
        assertEquals("200", next());
        assertEquals(3, requests[0]);
        assertEquals(2, client.opened());
    }

    @Test
    public void callsBeyondTheBoundWaitInLineAndACancelledOneMakesRoom() throws Exception {
        List<Runnable> held = new CopyOnWriteArrayList<>();
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch second = new CountDownLatch(2);
        HttpClient client = new HttpClient(
                loop,
                listen(() -> new HttpEndpoint() {
                    @Override
                    protected void request(dewplank.http.RequestParser request) {
                        held.add(() -> answer(MessageWriter.response(200).body(new byte[0])));
                        first.countDown();
                        second.countDown();
                    }
                }),
                1);
        HttpClient.Call[] calls = new HttpClient.Call[1];
        loop.execute(() -> calls[0] = client.call(request(), response -> answers.add("cancelled one")));
        assertTrue(first.await(PATIENCE_S, TimeUnit.SECONDS));
        call(client);
        CountDownLatch seen = new CountDownLatch(1);
        loop.execute(() -> {
            assertEquals(1, client.waiting());
            calls[0].cancel();
            seen.countDown();
        });
        assertTrue(seen.await(PATIENCE_S, TimeUnit.SECONDS));
        assertTrue(second.await(PATIENCE_S, TimeUnit.SECONDS));
        loop.execute(() -> held.get(1).run());
        assertEquals("200", next());
    }

    @Test
    public void aSidecarThatDoesNotStartEndsTheRunWithItsLogNamed() throws Exception {
        try (LoopbackRun run =
                new LoopbackRun(ScenarioFile.named("try"), 1, List.of("false"), new LoopbackRun.Observer() {
                    @Override
                    public Clients.OutcomeListener begin(World world) {
                        throw new AssertionError("it must not begin");
                    }

                    @Override
                    public void record(RecordedEvent note) {}
                })) {
            String message = assertThrows(IllegalStateException.class, run::run).getMessage();
            assertTrue(message, message.startsWith("sidecar 0 did not become ready; the sidecars' logs are in "));
        }
    }

    @Test
    public void addressesAreKeptApartForEachPair() {
        assertEquals("127.64.0.1:0", Addresses.format(Addresses.server(0, 0, 9)));
        assertEquals("127.64.0.10:0", Addresses.format(Addresses.server(1, 0, 9)));
        assertEquals("127.65.0.1:0", Addresses.format(Addresses.server(62_500, 0, 1)));
        assertThrows(IllegalArgumentException.class, () -> Addresses.server(100_000, 0, 1_000));
    }
}
