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
 * Runs the code of the common path before clients come. Guards against the first seconds after a start, in which
 * classes are loaded and compiled on part of a core while requests run out of time. It asks the sidecar's own
 * {@code /_health}, and drives a module that is thrown away; nobody else is sent anything.
 */
final class Rehearsal {
    private static final int ROUNDS = 300;
    private static final double MOST_MS = 1_000;
    private static final int SERVERS = 9;

    private final EventLoop loop;
    private final InetSocketAddress self;
    private final Settings settings;
    private final Runnable whenDone;
    private final ConnectionPool pool;
    private final double until;
    private final Queue<Send> sent = new ArrayDeque<>();
    private final Balancer module;
    private int round;

    Rehearsal(EventLoop loop, InetSocketAddress self, Settings settings, Runnable whenDone) {
        this.loop = loop;
        this.self = self;
        this.settings = settings;
        this.whenDone = whenDone;
        this.pool = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
        this.until = loop.now() + MOST_MS;
        this.module = new AdaptiveBalancer(settings, new SplittableRandom(1));
    }

    void start() {
        List<Endpoint> entries = IntStream.range(0, SERVERS)
                .mapToObj(i -> new Endpoint("rehearsed-" + i, settings.zone(), "", 0, Availability.UP, 1, null))
                .toList();
        tell(new EndpointUpdate(UpdateKind.CACHED, entries));
        next();
    }

    private void next() {
        if (round++ == ROUNDS || loop.now() > until) {
            pool.close();
            whenDone.run();
            return;
        }
        decide();
        MessageWriter request = MessageWriter.request("POST", "/_health", "rehearsal")
                .header("X-Trace-Id", "0")
                .header("X-Qos", "rehearsal")
                .header(Host.EXPIRES, "1000");
        new Attempt(loop, self, pool, request.body(new byte[] {'0'}), () -> true, (attempt, end) -> next())
                .start(MOST_MS, MOST_MS, Double.POSITIVE_INFINITY);
    }

    /** One request of each class, served at once. */
    private void decide() {
        long request = (long) round * settings.classes().size();
        for (RequestClass c : settings.classes()) {
            tell(new RequestArrived(++request, null, null, false, c.name(), c.deadlineMs(), null));
        }
        while (!sent.isEmpty()) {
            Send s = sent.remove();
            tell(new AttemptEnded(s.request(), 0, s.server(), Outcome.SERVED, 1, true, null));
        }
    }

    private void tell(Event event) {
        module.handle(loop.now(), event, action -> {
            if (action instanceof Send s) {
                sent.add(s);
            }
        });
    }
}
