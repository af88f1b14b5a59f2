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
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.EndpointDirectory;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Scenario;
import dewplank.emulator.Server;
import dewplank.emulator.World;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One sidecar in virtual time: a decision module and what its host does for it. Once a tick the module is told all that
 * has come in; what it does takes effect at that moment.
 */
public class EmulatedSidecar {
    private static final double HEALTH_CHECK_TIMEOUT_MS = 250;

    /** A request that the module has been told of. */
    private static final class PendingRequest {
        final ClientAttempt request;
        final List<Attempt> calls = new ArrayList<>();
        int out;
        boolean over;

        PendingRequest(ClientAttempt request) {
            this.request = request;
        }
    }

    /** One attempt at a server. */
    private final class Attempt {
        final PendingRequest open;
        final int attempt;
        final Server server;
        final double sentAt;
        int incarnation = -1;
        boolean over;

        Attempt(PendingRequest open, int attempt, Server server) {
            this.open = open;
            this.attempt = attempt;
            this.server = server;
            this.sentAt = world.now();
        }
    }

    /** A connection that carries nothing now. */
    private record IdleConnection(int incarnation, double since) {}

    final int number;
    private final World world;
    private final VirtualRun run;
    private final Scenario scenario;
    private Balancer balancer;
    private final List<Event> inbox = new ArrayList<>();
    private final List<Action> actions = new ArrayList<>();
    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final Map<Integer, ArrayDeque<IdleConnection>> idle = new HashMap<>();
    private EndpointDirectory.Watch watch;
    private long version;
    private int incarnation;
    private boolean up;
    private boolean dirty;
    private long sends;
    private long healthChecks;
    private long handshakes;

    protected EmulatedSidecar(VirtualRun run, int number) {
        this.run = run;
        this.world = run.world();
        this.scenario = world.scenario;
        this.number = number;
    }

    /** Starts from nothing but the list as it is held now. */
    void start(List<Endpoint> endpoints, long listVersion) {
        up = true;
        version = listVersion;
        balancer = run.newBalancer(number, incarnation);
        world.record(Type.SIDECAR_UP, null, number, -1, 0);
        deliver(new EndpointUpdate(UpdateKind.CACHED, endpoints));
    }

    void kill(double backAfterMs) {
        if (!up) {
            return;
        }
        up = false;
        incarnation++;
        world.record(Type.SIDECAR_KILLED, null, number, -1, 0);
        if (watch != null) {
            watch.close();
        }
        inbox.clear();
        List<PendingRequest> lost = new ArrayList<>(requests.values());
        lost.sort((a, b) -> Long.compare(a.request.id, b.request.id));
        requests.clear();
        for (PendingRequest o : lost) {
            for (Attempt c : o.calls) {
                if (c != null && !c.over) {
                    c.over = true;
                    c.server.disconnect(c.incarnation);
                }
            }
            if (!o.over) {
                world.later(world.clientDelay(), () -> run.clients().answered(o.request, Type.UNREACHABLE, 0));
            }
        }
        idle.forEach((server, connections) ->
                connections.forEach(i -> world.servers.get(server).disconnect(i.incarnation())));
        idle.clear();
        List<Endpoint> endpoints = world.list.endpoints();
        long listVersion = world.list.version();
        world.later(backAfterMs, () -> start(endpoints, listVersion));
    }

    long sends() {
        return sends;
    }

    long healthChecks() {
        return healthChecks;
    }

    long handshakes() {
        return handshakes;
    }

    int connectionsOpen() {
        return idle.values().stream().mapToInt(ArrayDeque::size).sum()
                + requests.values().stream().mapToInt(o -> o.out).sum();
    }

    // ---- the client's side ----------------------------------------------------------------------------

    void receive(ClientAttempt t) {
        int startedIn = incarnation;
        world.later(world.clientDelay(), () -> {
            if (!up || incarnation != startedIn) {
                run.clients().answered(t, Type.UNREACHABLE, 0);
                return;
            }
            requests.put(t.id, new PendingRequest(t));
            String tenant = t.tenant < 0
                    ? null
                    : scenario.subjects().tenants().get(t.tenant).name();
            deliver(new RequestArrived(
                    t.id,
                    tenant,
                    t.subjectKey < 0 ? null : "key-" + t.subjectKey,
                    t.isRetry && scenario.clients().marksRetries(),
                    scenario.classes().get(t.requestClass).name(),
                    Math.max(1, t.deadlineMs - world.now()),
                    null));
        });
    }

    void abandon(ClientAttempt t) {
        world.later(world.clientDelay(), () -> {
            PendingRequest open = requests.get(t.id);
            if (open != null && !open.over) {
                open.over = true;
                forgetIfDone(open);
                deliver(new RequestAbandoned(t.id));
            }
        });
    }

    /** The final answer goes to the client; overridden by sidecars that are broken on purpose. */
    protected void respond(ClientAttempt t, Type what, double value) {
        world.later(world.clientDelay(), () -> run.clients().answered(t, what, value));
    }

    private void forgetIfDone(PendingRequest open) {
        if (open.over && open.out == 0) {
            requests.remove(open.request.id);
        }
    }

    // ---- the module -----------------------------------------------------------------------------------

    private void deliver(Event event) {
        inbox.add(event);
        if (!dirty) {
            dirty = true;
            run.wake(this);
        }
    }

    /** Runs the module on all that has come in. Touches nothing but this sidecar: sidecars decide side by side. */
    void decide(double now) {
        for (Event event : inbox) {
            balancer.handle(now, event, actions::add);
        }
        inbox.clear();
        dirty = false;
    }

    /** Carries out what the module decided. */
    void act() {
        List<Action> decided = new ArrayList<>(actions);
        actions.clear();
        for (Action action : decided) {
            carryOut(action);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof Cancel a) {
            PendingRequest open = requests.get(a.request());
            Attempt call = open == null || a.attempt() >= open.calls.size() ? null : open.calls.get(a.attempt());
            if (call != null) {
                end(call, Outcome.CANCELLED, -1);
            }
        } else if (action instanceof Reject a) {
            finish(a.request(), Type.REFUSED, scenario.rules().retryAdvice() ? a.retryAfterMs() : 0);
        } else if (action instanceof Fail a) {
            finish(a.request(), Type.FAILED, 0);
        } else if (action instanceof SetTimer a) {
            int startedIn = incarnation;
            world.later(a.delayMs(), () -> {
                if (up && incarnation == startedIn) {
                    deliver(new TimerFired(a.timer()));
                }
            });
        } else if (action instanceof Subscribe) {
            subscribe();
        } else if (action instanceof CheckHealth a) {
            checkHealth(world.byId.get(a.server()));
        } else if (action instanceof CloseIdleConnections a) {
            closeIdle(world.byId.get(a.server()));
        } else if (action instanceof BroadcastSummary a) {
            run.broadcast(number, peerSummary(a.bytes()));
        }
    }

    private void finish(long request, Type what, double value) {
        PendingRequest open = requests.get(request);
        if (open != null && !open.over) {
            open.over = true;
            forgetIfDone(open);
            respond(open.request, what, value);
        }
    }

    /** What it tells the others; overridden by sidecars that are broken on purpose. */
    protected byte[] peerSummary(byte[] summary) {
        return summary;
    }

    void receiveSummary(int peer, byte[] summary) {
        if (up) {
            deliver(new PeerSummaryReceived(peer, summary));
        }
    }

    private void subscribe() {
        if (watch != null) {
            watch.close();
        }
        int startedIn = incarnation;
        watch = world.list.watch(number, version, new EndpointDirectory.Watcher() {
            @Override
            public void updated(long now, boolean full, List<Endpoint> entries) {
                if (incarnation == startedIn) {
                    version = now;
                    deliver(new EndpointUpdate(full ? UpdateKind.FULL : UpdateKind.INCREMENTAL, entries));
                }
            }

            @Override
            public void ended() {
                if (incarnation == startedIn) {
                    deliver(new EndpointUpdate(UpdateKind.BROKEN, List.of()));
                }
            }
        });
    }

    // ---- attempts -------------------------------------------------------------------------------------

    private void send(Send a) {
        PendingRequest open = requests.get(a.request());
        Server server = world.byId.get(a.server());
        int attempt = open == null ? 0 : open.calls.size();
        double left = open == null ? 0 : open.request.deadlineMs - world.now();
        if (open == null
                || open.over
                || server == null
                || left <= 0
                || a.timeoutMs() < 0
                || attempt >= scenario.rules().maxAttempts()) {
            if (open != null) {
                open.calls.add(null);
            }
            deliver(new AttemptEnded(
                    a.request(), attempt, a.server(), Outcome.NEVER_SENT, 0, open == null || open.over, null));
            return;
        }
        sends++;
        Attempt call = new Attempt(open, attempt, server);
        open.calls.add(call);
        open.out++;
        world.later(a.timeoutMs() == 0 ? left : Math.min(a.timeoutMs(), left), () -> end(call, Outcome.TIMED_OUT, -1));
        IdleConnection taken = takeIdle(server);
        if (taken == null) {
            connect(call);
        } else {
            call.incarnation = taken.incarnation();
            write(call, taken);
        }
    }

    /** An idle connection, or null. One whose end was noticed is none. */
    private IdleConnection takeIdle(Server server) {
        ArrayDeque<IdleConnection> own = idle.get(server.number);
        Scenario.ConnectionModel links = scenario.links();
        while (own != null && !own.isEmpty()) {
            IdleConnection last = own.removeLast();
            boolean ended = last.incarnation() != server.incarnation() && !server.wentSilently(last.incarnation())
                    || links.closeIsNoticed() && world.now() - last.since() >= links.idleMs();
            if (!ended) {
                return last;
            }
            server.disconnect(last.incarnation());
        }
        return null;
    }

    private void connect(Attempt call) {
        Scenario.ConnectionModel links = scenario.links();
        Server server = call.server;
        handshakes++;
        if (links.connectTimeoutMs() > 0) {
            world.later(links.connectTimeoutMs(), () -> {
                if (call.incarnation < 0) {
                    end(call, Outcome.CONNECT_FAILED, -1);
                }
            });
        }
        double there = world.delay(number, server);
        double back = world.delay(number, server);
        world.later(there, () -> {
            if (call.over || server.state() == Server.State.SILENT || world.cut(number, server.number)) {
                return;
            }
            if (server.state() == Server.State.DEAD) {
                world.later(back, () -> end(call, Outcome.CONNECT_FAILED, -1));
            } else if (server.connect()) {
                int serverIncarnation = server.incarnation();
                world.later(back + links.handshakeMs(), () -> {
                    if (call.over) {
                        server.disconnect(serverIncarnation);
                    } else {
                        call.incarnation = serverIncarnation;
                        write(call, null);
                    }
                });
            }
        });
    }

    private void write(Attempt call, IdleConnection reused) {
        Server server = call.server;
        double there = world.delay(number, server);
        double back = world.delay(number, server);
        boolean stale = reused != null
                && (reused.incarnation() != server.incarnation()
                        || world.now() - reused.since() >= scenario.links().idleMs());
        world.later(there, () -> {
            if (call.over || server.state() == Server.State.SILENT || world.cut(number, server.number)) {
                return; // given up before its last byte came, or lost on the way
            }
            if (stale || call.incarnation != server.incarnation() || server.state() == Server.State.DEAD) {
                world.later(back, () -> end(call, Outcome.RESET, -1));
                return;
            }
            if (world.lost()) {
                return;
            }
            server.offer(call.open.request, number, (reply, inFlight) -> {
                if (!world.cut(number, server.number) && !world.lost()) {
                    world.later(back, () -> end(call, outcome(reply), inFlight));
                }
            });
        });
    }

    private static Outcome outcome(Server.Reply reply) {
        return switch (reply) {
            case OK -> Outcome.SERVED;
            case ERROR -> Outcome.ERROR;
            case NEVER_RAN -> Outcome.REJECTED;
            case RESET -> Outcome.RESET;
        };
    }

    private void end(Attempt call, Outcome outcome, double inFlight) {
        if (call.over) {
            return;
        }
        call.over = true;
        PendingRequest open = call.open;
        open.out--;
        boolean hasResponse = outcome == Outcome.SERVED || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
        if (hasResponse && call.incarnation == call.server.incarnation()) {
            idle.computeIfAbsent(call.server.number, n -> new ArrayDeque<>())
                    .addLast(new IdleConnection(call.incarnation, world.now()));
        } else if (call.incarnation >= 0) {
            call.server.disconnect(call.incarnation);
        }
        if (outcome == Outcome.SERVED && !open.over) {
            open.over = true;
            respond(open.request, Type.SERVED, (double) open.request.id);
        }
        forgetIfDone(open);
        deliver(new AttemptEnded(
                open.request.id,
                call.attempt,
                call.server.id,
                outcome,
                world.now() - call.sentAt,
                open.over,
                inFlight < 0 ? null : new double[] {inFlight}));
    }

    private void checkHealth(Server server) {
        if (server == null) {
            return;
        }
        healthChecks++;
        int startedIn = incarnation;
        double sentAt = world.now();
        double way = world.delay(number, server) + world.delay(number, server);
        boolean lost = server.state() == Server.State.SILENT || world.cut(number, server.number);
        world.later(lost ? HEALTH_CHECK_TIMEOUT_MS : way, () -> {
            if (incarnation == startedIn) {
                deliver(new HealthChecked(
                        server.id, !lost && server.state() == Server.State.UP, world.now() - sentAt, null));
            }
        });
    }

    private void closeIdle(Server server) {
        ArrayDeque<IdleConnection> own = server == null ? null : idle.remove(server.number);
        if (own != null) {
            own.forEach(i -> server.disconnect(i.incarnation()));
        }
    }
}
