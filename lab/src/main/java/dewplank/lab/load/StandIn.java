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
import java.util.function.IntFunction;

/**
 * A target that does no work: it answers at once, or after a drawn time. One loop an address. It can be told to stall,
 * as a long collection would have it.
 */
public final class StandIn implements Closeable {
    private static final int MAX_CONNECTIONS = 100_000;
    private static final ByteBuffer ANSWER = MessageWriter.response(200).body(new byte[] {'o', 'k'});

    private final List<EventLoop> loops = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /** {@code meanMs} 0: at once. */
    public StandIn(List<InetSocketAddress> bindTo, Distribution distribution, double meanMs, double cv, long seed)
            throws IOException {
        this(bindTo, index -> {
            DoubleSupplier answerTimeMs =
                    RandomStreams.around(distribution, cv, new RandomStreams(seed).stream("stand-in", index));
            return () -> meanMs * answerTimeMs.getAsDouble();
        });
    }

    /** {@code answerTimesMs}: for each address, by its place, how long the next answer takes, in milliseconds. */
    StandIn(List<InetSocketAddress> bindTo, IntFunction<DoubleSupplier> answerTimesMs) throws IOException {
        for (InetSocketAddress address : bindTo) {
            EventLoop loop = new EventLoop();
            DoubleSupplier answerTimeMs = answerTimesMs.apply(loops.size());
            loops.add(loop);
            Listener listener = new Listener(loop, address, MAX_CONNECTIONS, () -> new Endpoint(loop, answerTimeMs));
            addresses.add((InetSocketAddress) listener.address());
            loop.execute(listener::accept);
        }
    }

    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** For so long nothing at all moves. */
    public void stall(long ms) {
        for (EventLoop loop : loops) {
            loop.execute(() -> {
                try {
                    Thread.sleep(ms);
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
        private final EventLoop loop;
        private final DoubleSupplier answerTimeMs;

        Endpoint(EventLoop loop, DoubleSupplier answerTimeMs) {
            this.loop = loop;
            this.answerTimeMs = answerTimeMs;
        }

        @Override
        protected void request(RequestParser request) {
            request.takeBody();
            double delayMs = answerTimeMs.getAsDouble();
            if (delayMs <= 0) {
                answer(ANSWER.duplicate());
            } else {
                loop.afterExactly(delayMs, () -> answer(ANSWER.duplicate()));
            }
        }
    }
}
