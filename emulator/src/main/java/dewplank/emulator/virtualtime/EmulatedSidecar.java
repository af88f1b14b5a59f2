package dewplank.emulator.virtualtime;

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
import dewplank.balancer.Endpoint;
import dewplank.balancer.Event;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;

/**
 * A sidecar in virtual time: a balancer and its host. Events are queued in the inbox until the sidecar's next tick; the
 * balancer's actions take effect at that tick. {@link VirtualRun} calls all methods on the scheduler thread, except
 * {@link #decide}, which may run in parallel with that of other sidecars and uses only this sidecar's state.
 */
public class EmulatedSidecar {
    private enum State {
        NOT_STARTED,
        RUNNING,
        KILLED
    }

    final int number;
    private final EmulatedEnvironment environment;
    private final VirtualRun run;
    private final Scenario scenario;
    private final EventInbox inbox = new EventInbox(this::scheduleTick);
    private final RequestTable requests = new RequestTable();
    private final ConnectionPool connections;
    private final AttemptSender attempts;
    private final DirectorySubscription directory;
    private final HealthChecker healthChecker;
    private final List<Action> actions = new ArrayList<>();
    private Balancer balancer;
    private State state = State.NOT_STARTED;

    /** {@code number}: index of the sidecar in the run, from 0. */
    protected EmulatedSidecar(VirtualRun run, int number) {
        this.run = run;
        this.environment = run.environment();
        this.scenario = environment.scenario();
        this.number = number;
        this.connections = new ConnectionPool(environment);
        SidecarContext context = new SidecarContext(environment, number, inbox);
        this.attempts = new AttemptSender(context, requests, connections, this::respond);
        this.directory = new DirectorySubscription(context);
        this.healthChecker = new HealthChecker(context);
    }

    private void scheduleTick() {
        run.scheduleTick(this);
    }

    // ---- the process ----------------------------------------------------------------------------------

    /** Starts the process with a new balancer whose only state is a cached endpoint list. */
    void start(List<Endpoint> endpoints, long listVersion) {
        transitionTo(State.RUNNING);
        balancer = run.newBalancer(number, inbox.incarnation());
        environment.record(Type.SIDECAR_UP, null, number, -1, 0);
        directory.loadCached(listVersion, endpoints);
    }

    /** Kills the process and restarts it later with the current endpoint list; ignored if no process is running. */
    void kill(double restartAfterMs) {
        if (state != State.RUNNING) {
            return;
        }
        transitionTo(State.KILLED);
        inbox.beginNextIncarnation();
        environment.record(Type.SIDECAR_KILLED, null, number, -1, 0);
        directory.close();
        requests.removeAll().forEach(this::failAfterKill);
        connections.closeAll();
        List<Endpoint> endpoints = environment.directory().endpoints();
        long listVersion = environment.directory().version();
        environment.schedule(restartAfterMs, () -> start(endpoints, listVersion));
    }

    private void transitionTo(State next) {
        boolean isAllowed = next == State.KILLED ? state == State.RUNNING : state != State.RUNNING;
        if (!isAllowed) {
            throw new IllegalStateException("sidecar " + number + " can't change from " + state + " to " + next);
        }
        state = next;
    }

    private void failAfterKill(PendingRequest request) {
        request.inFlight().forEach(attempts::abort);
        if (request.isOpen()) {
            environment.schedule(environment.clientDelayMs(), () -> run.clients()
                    .onAttemptEnded(request.client, Type.UNREACHABLE, 0));
        }
    }

    // ---- statistics -----------------------------------------------------------------------------------

    long attemptsSent() {
        return attempts.sentCount();
    }

    long healthChecks() {
        return healthChecker.sentCount();
    }

    long handshakes() {
        return attempts.handshakeCount();
    }

    int openConnections() {
        return connections.size() + requests.attemptsInFlight();
    }

    // ---- clients --------------------------------------------------------------------------------------

    /** Handles a request that a client sent. The request fails if the process ends before it arrives. */
    void receive(ClientAttempt client) {
        int incarnation = inbox.incarnation();
        environment.schedule(environment.clientDelayMs(), () -> {
            if (state != State.RUNNING || inbox.incarnation() != incarnation) {
                run.clients().onAttemptEnded(client, Type.UNREACHABLE, 0);
                return;
            }
            requests.add(client);
            inbox.add(arrival(client));
        });
    }

    private RequestArrived arrival(ClientAttempt client) {
        return new RequestArrived(
                client.id(),
                client.tenant() < 0
                        ? null
                        : scenario.tenantsAndKeys()
                                .tenants()
                                .get(client.tenant())
                                .name(),
                client.subjectKey() < 0 ? null : "key-" + client.subjectKey(),
                client.isRetry() && scenario.clients().marksRetries(),
                scenario.classes().get(client.requestClass()).name(),
                Math.max(1, client.deadlineMs() - environment.now()),
                null);
    }

    /** Handles the close of a client's connection. */
    void abandon(ClientAttempt client) {
        environment.schedule(environment.clientDelayMs(), () -> requests.findOpen(client.id())
                .ifPresent(request -> {
                    requests.finish(request);
                    inbox.add(new RequestAbandoned(client.id()));
                }));
    }

    /**
     * Sends the final response to a client. Overridden by deliberately faulty sidecars in tests.
     *
     * @param type how the request ended
     * @param value as {@link Type} defines it
     */
    protected void respond(ClientAttempt client, Type type, double value) {
        environment.schedule(environment.clientDelayMs(), () -> run.clients().onAttemptEnded(client, type, value));
    }

    private void finish(long id, Type type, double value) {
        requests.findOpen(id).ifPresent(request -> {
            requests.finish(request);
            respond(request.client, type, value);
        });
    }

    // ---- the balancer ---------------------------------------------------------------------------------

    /** Passes all events since the last tick to the balancer. */
    void decide(double nowMs) {
        for (Event event : inbox.drain()) {
            balancer.handle(nowMs, event, actions::add);
        }
    }

    /** Executes the actions that {@link #decide} collected. */
    void executeActions() {
        List<Action> decided = List.copyOf(actions);
        actions.clear();
        decided.forEach(this::execute);
    }

    private void execute(Action action) {
        if (action instanceof Send send) {
            attempts.send(send);
        } else if (action instanceof Cancel cancel) {
            attempts.cancel(cancel);
        } else if (action instanceof Reject reject) {
            finish(reject.request(), Type.REFUSED, scenario.rules().allowsRetryAdvice() ? reject.retryAfterMs() : 0);
        } else if (action instanceof Fail fail) {
            finish(fail.request(), Type.FAILED, 0);
        } else if (action instanceof SetTimer timer) {
            int incarnation = inbox.incarnation();
            environment.schedule(timer.delayMs(), () -> inbox.add(incarnation, new TimerFired(timer.timer())));
        } else if (action instanceof Subscribe) {
            directory.subscribe();
        } else if (action instanceof CheckHealth check) {
            environment.server(check.server()).ifPresent(healthChecker::check);
        } else if (action instanceof CloseIdleConnections close) {
            environment.server(close.server()).ifPresent(connections::close);
        } else if (action instanceof BroadcastSummary broadcast) {
            run.broadcast(number, peerSummary(broadcast.bytes()));
        }
    }

    // ---- peers ----------------------------------------------------------------------------------------

    /**
     * Returns the bytes that are sent to peers for the balancer's summary. Overridden by deliberately faulty sidecars
     * in tests.
     */
    protected byte[] peerSummary(byte[] summary) {
        return summary;
    }

    /** Handles a peer's summary; it is lost if no process is running. */
    void receiveSummary(int peer, byte[] summary) {
        if (state == State.RUNNING) {
            inbox.add(new PeerSummaryReceived(peer, summary));
        }
    }
}
