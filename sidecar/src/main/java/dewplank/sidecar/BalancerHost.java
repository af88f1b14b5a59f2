package dewplank.sidecar;

import dewplank.balancer.Action;
import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.CheckHealth;
import dewplank.balancer.Action.CloseIdleConnections;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.health.PeerSummary;
import dewplank.discovery.CatalogUpdate;
import dewplank.discovery.DiscoveryClient;
import dewplank.net.EventLoop;
import dewplank.peers.PeerChannel;
import dewplank.sidecar.config.SidecarConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Runs the balancer on sockets: passes events to it, one at a time, and executes the actions that it returns.
 *
 * <p>The host itself never selects a server, retries or rejects. Client connections and {@link Sidecar} call it on the
 * event loop's thread unless a method states otherwise.
 */
public final class BalancerHost {
    private static final System.Logger LOG = System.getLogger(BalancerHost.class.getName());
    /** Reserved from a client's time budget for the timer's resolution and for sending the response. */
    private static final double RESPONSE_MARGIN_MS = 10;

    private static final double DEADLINE_TIMER_MARGIN_MS = 10;

    private final EventLoop loop;
    private final Settings settings;
    private final Balancer balancer;
    private final DiscoveryClient discovery;
    private final CatalogUpdate initialCatalog;
    private final PeerChannel peers; // null if the settings allow no peer summaries
    private final OpenRequests requests = new OpenRequests();
    private final ServerConnections connections;
    private final AttemptDispatcher attempts;
    private final Deque<Event> events = new ArrayDeque<>();
    private boolean isDelivering;
    private double handledAtMs;
    private double completeAllByMs = Double.POSITIVE_INFINITY;

    BalancerHost(EventLoop loop, SidecarConfig config, Balancer balancer) {
        this.loop = loop;
        this.settings = config.settings();
        this.balancer = balancer;
        this.discovery = new DiscoveryClient(
                loop,
                config.discovery(),
                settings.safety().allowsRemovedServers(),
                settings.endpointListIsPushed(),
                this::endpointsChanged);
        this.initialCatalog = CatalogUpdate.of(config.initialCatalog());
        this.peers = config.peers() == null
                ? null
                : new PeerChannel(
                        loop,
                        config.peers(),
                        settings.replicaIndex(),
                        bytes -> PeerSummary.decode(bytes) != null,
                        (peer, bytes) -> deliver(new PeerSummaryReceived(peer, bytes)));
        this.connections =
                new ServerConnections(loop, settings.limits().idleTimeoutMs(), config.maxServerConnections());
        this.attempts = new AttemptDispatcher(loop, settings, discovery, requests, connections, this::deliver);
    }

    /** Starts the peer channel, discovery and the sweep of idle connections. Called once. */
    public void start() {
        if (peers != null) {
            peers.start();
        }
        discovery.start(initialCatalog);
        connections.start();
    }

    /** Whether a server is available for requests. */
    boolean hasAvailableServer() {
        return discovery.hasAvailableServer();
    }

    /** Whether a client's request with this trace id has no final response yet. */
    boolean isTraceIdInUse(String traceId) {
        return requests.isTraceIdInUse(traceId);
    }

    /** Returns the longest deadline of all request classes. */
    double maxDeadlineMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }

    /** Returns the shortest latency target of all request classes. */
    double minLatencyTargetMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::latencyTargetMs)
                .min()
                .orElse(0);
    }

    /** Limits the deadlines of new requests to this time of the event loop, and fails requests still open then. */
    void completeAllBy(double timeMs) {
        completeAllByMs = timeMs;
        loop.after(timeMs - loop.now(), () -> {
            for (PendingRequest request : requests.snapshot()) {
                fail(request);
            }
        });
    }

    void changeDiscoveryAddress(InetSocketAddress address) {
        discovery.changeAddress(address);
    }

    int openRequestCount() {
        return requests.incompleteCount();
    }

    boolean hasReleasedEverything() {
        return requests.isEmpty() && !connections.hasAttemptsInFlight();
    }

    void close() {
        discovery.close();
        closePeerChannel();
    }

    /** May be called from any thread. */
    void closePeerChannel() {
        if (peers != null) {
            peers.close();
        }
    }

    /**
     * Accepts a client's request and passes it to the balancer.
     *
     * @param responses receives the final response, exactly once unless the request is abandoned
     */
    PendingRequest accept(ClientRequest decoded, PendingRequest.ResponseSink responses) {
        double budgetMs =
                Math.max(1, Math.min(decoded.timeBudgetMs(), completeAllByMs - loop.now()) - RESPONSE_MARGIN_MS);
        PendingRequest request = requests.open(decoded.forwarded(), loop.now() + budgetMs, responses);
        // If the balancer does not decide on the request, the client still gets a response in time.
        request.deadlineTimer = loop.after(budgetMs + DEADLINE_TIMER_MARGIN_MS, () -> {
            LOG.log(System.Logger.Level.WARNING, "request deadline passed without a decision");
            abandon(request);
            responses.respondFailed();
        });
        RequestAttributes attributes = decoded.attributes();
        deliver(new RequestArrived(
                request.number,
                attributes.tenant(),
                attributes.key(),
                decoded.isRetry(),
                decoded.requestClass(),
                budgetMs,
                attributes.costMs()));
        return request;
    }

    /** Completes a request without a response: the client has disconnected, or the caller sends the response. */
    void abandon(PendingRequest request) {
        if (!request.isComplete) {
            requests.complete(request);
            deliver(new RequestAbandoned(request.number));
        }
    }

    private void fail(PendingRequest request) {
        if (!request.isComplete) {
            abandon(request);
            request.responses.respondFailed();
        }
    }

    private void endpointsChanged(EndpointUpdate update) {
        deliver(update);
        connections.closeRemoved(server -> discovery.addressOf(server) == null);
    }

    /**
     * Queues an event, and processes the queue unless a caller further up the stack already does so. The result of an
     * action, such as a refused connection, may be reported while the event that caused the action is still handled.
     */
    private void deliver(Event event) {
        events.addLast(event);
        if (isDelivering) {
            return;
        }
        isDelivering = true;
        try {
            while (!events.isEmpty()) {
                handle(events.removeFirst());
            }
        } finally {
            isDelivering = false;
        }
    }

    /** Handles one event. An exception from the balancer or an action must not stop the loop or fail other requests. */
    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        try {
            handledAtMs = loop.now();
            balancer.handle(handledAtMs, event, actions::add);
        } catch (RuntimeException e) { // a bug in the balancer fails only the request of this event
            LOG.log(
                    System.Logger.Level.ERROR,
                    "balancer failed event=" + event.getClass().getSimpleName(),
                    e);
            failRequestOf(event);
        }
        for (Action action : actions) {
            try {
                execute(action);
            } catch (RuntimeException e) { // the remaining actions of the event are still executed
                LOG.log(
                        System.Logger.Level.ERROR,
                        "action failed action=" + action.getClass().getSimpleName(),
                        e);
            }
        }
    }

    private void failRequestOf(Event event) {
        long number = event instanceof RequestArrived arrived
                ? arrived.request()
                : event instanceof AttemptEnded ended ? ended.request() : 0;
        PendingRequest request = requests.get(number);
        if (request != null) {
            fail(request);
        }
    }

    private void execute(Action action) {
        if (action instanceof Send send) {
            attempts.send(send, handledAtMs);
        } else if (action instanceof Cancel cancel) {
            attempts.cancel(cancel);
        } else if (action instanceof Reject reject) {
            reject(reject);
        } else if (action instanceof Fail fail) {
            fail(fail);
        } else if (action instanceof SetTimer timer) {
            loop.after(timer.delayMs(), () -> deliver(new TimerFired(timer.timer())));
        } else if (action instanceof Subscribe) {
            discovery.subscribe();
        } else if (action instanceof CheckHealth check) {
            attempts.checkHealth(check.server());
        } else if (action instanceof CloseIdleConnections close) {
            connections.poolOf(close.server()).closeIdleBefore(loop.now());
        } else if (action instanceof BroadcastSummary summary && peers != null) {
            peers.broadcast(summary.bytes());
        }
    }

    private void reject(Reject action) {
        PendingRequest request = requests.get(action.request());
        if (request != null && !request.isComplete) {
            requests.complete(request);
            request.responses.respondRejected(action.retryAfterMs());
        }
    }

    private void fail(Fail action) {
        PendingRequest request = requests.get(action.request());
        if (request != null && !request.isComplete) {
            requests.complete(request);
            request.responses.respondFailed();
        }
    }
}
