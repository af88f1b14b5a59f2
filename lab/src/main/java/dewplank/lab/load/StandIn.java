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
 * A target that does no work: it answers each request at once, or after a drawn time. One loop an address. Any thread
 * may call it.
 */
public final class StandIn implements Closeable {
    private static final int MAX_CONNECTIONS = 100_000;
    private static final ByteBuffer ANSWER = MessageWriter.response(200).body(new byte[] {'o', 'k'});

    private final List<EventLoop> loops = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /**
     * Begins to answer.
     *
     * @param meanMs of the time that an answer takes; 0: none
     * @param cv the distribution's coefficient of variation
     * @throws IOException if an address cannot be bound
     */
    public StandIn(List<InetSocketAddress> bindTo, Distribution distribution, double meanMs, double cv, long seed)
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
     * Begins to answer.
     *
     * @param answerTimesMs for each address, by its index: how long the next answer takes, asked on the address's loop
     * @param clocks gives each address's loop its clock
     * @throws IOException if an address cannot be bound
     */
    StandIn(
            List<InetSocketAddress> bindTo,
            IntFunction<DoubleSupplier> answerTimesMs,
            Function<EventLoop, LoadClock> clocks)
            throws IOException {
        for (InetSocketAddress address : bindTo) {
            EventLoop loop = new EventLoop();
            DoubleSupplier answerTimeMs = answerTimesMs.apply(loops.size());
            loops.add(loop);
            LoadClock clock = clocks.apply(loop);
            Listener listener = new Listener(loop, address, MAX_CONNECTIONS, () -> new Endpoint(clock, answerTimeMs));
            addresses.add((InetSocketAddress) listener.address());
            loop.execute(listener::accept);
        }
    }

    /** Where it listens, in the order given, with the ports that the system chose. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Blocks all loops for so long, as a long garbage collection would. */
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
        private final DoubleSupplier answerTimeMs;

        Endpoint(LoadClock clock, DoubleSupplier answerTimeMs) {
            this.clock = clock;
            this.answerTimeMs = answerTimeMs;
        }

        @Override
        protected void request(RequestParser request) {
            request.takeBody();
            double delayMs = answerTimeMs.getAsDouble();
            if (delayMs <= 0) {
                answer(ANSWER.duplicate());
            } else {
                clock.schedule(delayMs, () -> answer(ANSWER.duplicate()));
            }
        }
    }
}
