package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import dewplank.emulator.loopback.HttpEndpoint;
import dewplank.emulator.scenario.Distribution;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.IntFunction;

/**
 * A stub server that does no work: it responds to each request immediately or after a random delay. Each address has
 * its own event loop. Any thread may call the methods.
 */
public final class StubServer implements Closeable {
    private static final int MAX_CONNECTIONS = 100_000;
    private static final ByteBuffer RESPONSE = MessageWriter.response(200).body(new byte[] {'o', 'k'});

    private final List<EventLoop> loops = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /**
     * Starts the server.
     *
     * @param meanMs mean response delay; 0: no delay
     * @param cv coefficient of variation of the distribution
     * @throws IOException if an address cannot be bound
     */
    public StubServer(List<InetSocketAddress> bindTo, Distribution distribution, double meanMs, double cv, long seed)
            throws IOException {
        this(
                bindTo,
                index -> {
                    DoubleSupplier factor =
                            RandomStreams.around(distribution, cv, new RandomStreams(seed).stream("stand-in", index));
                    return () -> meanMs * factor.getAsDouble();
                },
                LoadClock::of);
    }

    /**
     * Starts the server.
     *
     * @param responseDelaysMs for each address, by index: supplies the delay of the next response, on the address's
     *     loop
     * @param clocks provides the clock for each address's loop
     * @throws IOException if an address cannot be bound
     */
    StubServer(
            List<InetSocketAddress> bindTo,
            IntFunction<DoubleSupplier> responseDelaysMs,
            Function<EventLoop, LoadClock> clocks)
            throws IOException {
        for (InetSocketAddress address : bindTo) {
            EventLoop loop = new EventLoop();
            DoubleSupplier responseDelayMs = responseDelaysMs.apply(loops.size());
            loops.add(loop);
            LoadClock clock = clocks.apply(loop);
            Listener listener =
                    new Listener(loop, address, MAX_CONNECTIONS, () -> new Endpoint(clock, responseDelayMs));
            addresses.add((InetSocketAddress) listener.address());
            loop.execute(listener::accept);
        }
    }

    /** The addresses that the server listens on, in the order given, with the ports that the system chose. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Blocks all loops for this time, as a long garbage collection would. */
    public void stall(long durationMs) {
        for (EventLoop loop : loops) {
            loop.execute(() -> {
                try {
                    Thread.sleep(durationMs);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    @Override
    public void close() {
        loops.forEach(EventLoop::stop);
    }

    private static final class Endpoint extends HttpEndpoint {
        private final LoadClock clock;
        private final DoubleSupplier responseDelayMs;

        Endpoint(LoadClock clock, DoubleSupplier responseDelayMs) {
            this.clock = clock;
            this.responseDelayMs = responseDelayMs;
        }

        @Override
        protected void onRequest(RequestParser request) {
            request.takeBody();
            double delayMs = responseDelayMs.getAsDouble();
            if (delayMs <= 0) {
                respond(RESPONSE.duplicate());
            } else {
                clock.schedule(delayMs, () -> respond(RESPONSE.duplicate()));
            }
        }
    }
}
