package dewplank.sidecar;

import dewplank.balancer.Action.Send;
import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.exchange.ConnectionPool;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Warms up the JVM: runs the code of the common path before clients connect.
 *
 * <p>In the first seconds after a start, classes are loaded and compiled on a fraction of a core, and requests would
 * time out in the meantime. The warm-up sends requests to the sidecar's own {@code /_health} and passes events to a
 * balancer that is discarded afterwards. It sends nothing to servers. {@link Sidecar#warmUp} starts it, and all
 * methods run on the event loop's thread.
 */
final class JvmWarmUp {
    private static final int MAX_ROUNDS = 300;
    private static final double MAX_DURATION_MS = 1_000;
    private static final int SERVER_COUNT = 9;

    private final EventLoop loop;
    private final InetSocketAddress ownAddress;
    private final Settings settings;
    private final Runnable whenDone;
    private final ConnectionPool pool;
    private final double untilMs;
    private final Queue<Send> pendingSends = new ArrayDeque<>();
    private final Balancer balancer;
    private int round;

    JvmWarmUp(EventLoop loop, InetSocketAddress ownAddress, Settings settings, Runnable whenDone) {
        this.loop = loop;
        this.ownAddress = ownAddress;
        this.settings = settings;
        this.whenDone = whenDone;
        this.pool = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
        this.untilMs = loop.now() + MAX_DURATION_MS;
        this.balancer = new AdaptiveBalancer(settings, new SplittableRandom(1));
    }

    void start() {
        List<Endpoint> endpoints = IntStream.range(0, SERVER_COUNT)
                .mapToObj(i -> new Endpoint("rehearsed-" + i, settings.zone(), "", 0, Availability.UP, 1, null))
                .toList();
        deliver(new EndpointUpdate(UpdateKind.CACHED, endpoints));
        runRound();
    }

    private void runRound() {
        if (round++ == MAX_ROUNDS || loop.now() > untilMs) {
            pool.close();
            whenDone.run();
            return;
        }
        simulateRequests();
        MessageWriter request = MessageWriter.request("POST", "/_health", "rehearsal")
                .header("X-Trace-Id", "0")
                .header("X-Qos", "rehearsal")
                .header(AttemptDispatcher.EXPIRES_IN_HEADER, "1000");
        new HttpAttempt(
                        loop,
                        ownAddress,
                        pool,
                        request.body(new byte[] {'0'}),
                        () -> true,
                        (attempt, end) -> runRound())
                .start(MAX_DURATION_MS, MAX_DURATION_MS, Double.POSITIVE_INFINITY);
    }

    /** Passes a request of each class to the balancer, and reports each one as served immediately. */
    private void simulateRequests() {
        long request = (long) round * settings.classes().size();
        for (RequestClass requestClass : settings.classes()) {
            deliver(new RequestArrived(
                    ++request, null, null, false, requestClass.name(), requestClass.deadlineMs(), null));
        }
        while (!pendingSends.isEmpty()) {
            Send send = pendingSends.remove();
            deliver(new AttemptEnded(send.request(), 0, send.server(), Outcome.SERVED, 1, true, null));
        }
    }

    private void deliver(Event event) {
        balancer.handle(loop.now(), event, action -> {
            if (action instanceof Send send) {
                pendingSends.add(send);
            }
        });
    }
}
