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
    private static final double PROBE_TIMEOUT_MS = 250;

    /** A request that the module has been told of. */
    private static final class Open {
        final ClientAttempt request;
        final List<Call> calls = new ArrayList<>();
        int out;
        boolean over;

        Open(ClientAttempt request) {
            this.request = request;
        }
    }

    /** One attempt at a server. */
    private final class Call {
        final Open open;
        final int attempt;
        final Server server;
        final double sentAt;
        int life = -1;
        boolean over;

        Call(Open open, int attempt, Server server) {
            this.open = open;
            this.attempt = attempt;
            this.server = server;
            this.sentAt = world.now();
        }
    }

    /** A connection that carries nothing now. */
    private record Idle(int life, double since) {}

    final int number;
    private final World world;
    private final VirtualRun run;
    private final Scenario scenario;
    private Balancer balancer;
    private final List<Event> inbox = new ArrayList<>();
    private final List<Action> actions = new ArrayList<>();
    private final Map<Long, Open> requests = new HashMap<>();
    private final Map<Integer, ArrayDeque<Idle>> idle = new HashMap<>();
    private EndpointDirectory.Watch watch;
    private long version;
    private int life;
    private boolean up;
    private boolean dirty;
    private long sends;
    private long probes;
    private long handshakes;

    protected EmulatedSidecar(VirtualRun run, int number) {
        this.run = run;
        this.world = run.world();
        this.scenario = world.scenario;
        this.number = number;
    }

    /** Starts from nothing but the list as it is held now. */
    void start(List<Endpoint> known, long knownVersion) {
        up = true;
        version = knownVersion;
        balancer = run.newBalancer(number, life);
        world.record(Type.SIDECAR_UP, null, number, -1, 0);
        tell(new EndpointUpdate(UpdateKind.CACHED, known));
    }

    void kill(double backAfterMs) {
        if (!up) {
            return;
        }
        up = false;
        life++;
        world.record(Type.SIDECAR_KILLED, null, number, -1, 0);
        if (watch != null) {
            watch.close();
        }
        inbox.clear();
        List<Open> lost = new ArrayList<>(requests.values());
        lost.sort((a, b) -> Long.compare(a.request.id, b.request.id));
        requests.clear();
        for (Open o : lost) {
            for (Call c : o.calls) {
                if (c != null && !c.over) {
                    c.over = true;
                    c.server.disconnect(c.life);
                }
            }
            if (!o.over) {
                world.later(world.clientDelay(), () -> run.clients().answered(o.request, Type.UNREACHABLE, 0));
            }
        }
        idle.forEach((server, connections) ->
                connections.forEach(i -> world.servers.get(server).disconnect(i.life())));
        idle.clear();
        List<Endpoint> known = world.list.endpoints();
        long knownVersion = world.list.version();
        world.later(backAfterMs, () -> start(known, knownVersion));
    }

    long sends() {
        return sends;
    }

    long probes() {
        return probes;
    }

    long handshakes() {
        return handshakes;
    }

    int connectionsOpen() {
        return idle.values().stream().mapToInt(ArrayDeque::size).sum()
                + requests.values().stream().mapToInt(o -> o.out).sum();
    }

    // ---- the client's side ----------------------------------------------------------------------------

    void ask(ClientAttempt t) {
        int mine = life;
        world.later(world.clientDelay(), () -> {
            if (!up || life != mine) {
                run.clients().answered(t, Type.UNREACHABLE, 0);
                return;
            }
            requests.put(t.id, new Open(t));
            String tenant = t.tenant < 0
                    ? null
                    : scenario.subjects().tenants().get(t.tenant).name();
            tell(new RequestArrived(
                    t.id,
                    tenant,
                    t.subjectKey < 0 ? null : "key-" + t.subjectKey,
                    t.isRetry && scenario.clients().marksRetries(),
                    scenario.classes().get(t.requestClass).name(),
                    Math.max(1, t.deadlineMs - world.now()),
                    null));
        });
    }

    void leave(ClientAttempt t) {
        world.later(world.clientDelay(), () -> {
            Open open = requests.get(t.id);
            if (open != null && !open.over) {
                open.over = true;
                forgetIfDone(open);
                tell(new RequestAbandoned(t.id));
            }
        });
    }

    /** The final answer goes to the client; overridden by sidecars that are broken on purpose. */
    protected void answer(ClientAttempt t, Type what, double value) {
        world.later(world.clientDelay(), () -> run.clients().answered(t, what, value));
    }

    private void forgetIfDone(Open open) {
        if (open.over && open.out == 0) {
            requests.remove(open.request.id);
        }
    }

    // ---- the module -----------------------------------------------------------------------------------

    private void tell(Event event) {
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
        List<Action> todo = new ArrayList<>(actions);
        actions.clear();
        for (Action action : todo) {
            carryOut(action);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof Cancel a) {
            Open open = requests.get(a.request());
            Call call = open == null || a.attempt() >= open.calls.size() ? null : open.calls.get(a.attempt());
            if (call != null) {
                end(call, Outcome.CANCELLED, -1);
            }
        } else if (action instanceof Reject a) {
            finish(a.request(), Type.REFUSED, scenario.rules().retryAdvice() ? a.retryAfterMs() : 0);
        } else if (action instanceof Fail a) {
            finish(a.request(), Type.FAILED, 0);
        } else if (action instanceof SetTimer a) {
            int mine = life;
            world.later(a.delayMs(), () -> {
                if (up && life == mine) {
                    tell(new TimerFired(a.timer()));
                }
            });
        } else if (action instanceof Subscribe) {
            subscribe();
        } else if (action instanceof CheckHealth a) {
            probe(world.byId.get(a.server()));
        } else if (action instanceof CloseIdleConnections a) {
            closeIdle(world.byId.get(a.server()));
        } else if (action instanceof BroadcastSummary a) {
            run.tellPeers(number, message(a.bytes()));
        }
    }

    private void finish(long request, Type what, double value) {
        Open open = requests.get(request);
        if (open != null && !open.over) {
            open.over = true;
            forgetIfDone(open);
            answer(open.request, what, value);
        }
    }

    /** What it tells the others; overridden by sidecars that are broken on purpose. */
    protected byte[] message(byte[] said) {
        return said;
    }

    void hear(int peer, byte[] said) {
        if (up) {
            tell(new PeerSummaryReceived(peer, said));
        }
    }

    private void subscribe() {
        if (watch != null) {
            watch.close();
        }
        int mine = life;
        watch = world.list.watch(number, version, new EndpointDirectory.Watcher() {
            @Override
            public void updated(long now, boolean full, List<Endpoint> entries) {
                if (life == mine) {
                    version = now;
                    tell(new EndpointUpdate(full ? UpdateKind.FULL : UpdateKind.INCREMENTAL, entries));
                }
            }

            @Override
            public void ended() {
                if (life == mine) {
                    tell(new EndpointUpdate(UpdateKind.BROKEN, List.of()));
                }
            }
        });
    }

    // ---- attempts -------------------------------------------------------------------------------------

    private void send(Send a) {
        Open open = requests.get(a.request());
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
            tell(new AttemptEnded(
                    a.request(), attempt, a.server(), Outcome.NEVER_SENT, 0, open == null || open.over, null));
            return;
        }
        sends++;
        Call call = new Call(open, attempt, server);
        open.calls.add(call);
        open.out++;
        world.later(a.timeoutMs() == 0 ? left : Math.min(a.timeoutMs(), left), () -> end(call, Outcome.TIMED_OUT, -1));
        Idle taken = takeIdle(server);
        if (taken == null) {
            connect(call);
        } else {
            call.life = taken.life();
            write(call, taken);
        }
    }

    /** An idle connection, or null. One whose end was noticed is none. */
    private Idle takeIdle(Server server) {
        ArrayDeque<Idle> own = idle.get(server.number);
        Scenario.ConnectionModel links = scenario.links();
        while (own != null && !own.isEmpty()) {
            Idle last = own.removeLast();
            boolean ended = last.life() != server.incarnation() && !server.wentSilently(last.life())
                    || links.closeIsNoticed() && world.now() - last.since() >= links.idleMs();
            if (!ended) {
                return last;
            }
            server.disconnect(last.life());
        }
        return null;
    }

    private void connect(Call call) {
        Scenario.ConnectionModel links = scenario.links();
        Server server = call.server;
        handshakes++;
        if (links.connectTimeoutMs() > 0) {
            world.later(links.connectTimeoutMs(), () -> {
                if (call.life < 0) {
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
                int itsLife = server.incarnation();
                world.later(back + links.handshakeMs(), () -> {
                    if (call.over) {
                        server.disconnect(itsLife);
                    } else {
                        call.life = itsLife;
                        write(call, null);
                    }
                });
            }
        });
    }

    private void write(Call call, Idle reused) {
        Server server = call.server;
        double there = world.delay(number, server);
        double back = world.delay(number, server);
        boolean stale = reused != null
                && (reused.life() != server.incarnation()
                        || world.now() - reused.since() >= scenario.links().idleMs());
        world.later(there, () -> {
            if (call.over || server.state() == Server.State.SILENT || world.cut(number, server.number)) {
                return; // given up before its last byte came, or lost on the way
            }
            if (stale || call.life != server.incarnation() || server.state() == Server.State.DEAD) {
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

    private void end(Call call, Outcome outcome, double inFlight) {
        if (call.over) {
            return;
        }
        call.over = true;
        Open open = call.open;
        open.out--;
        boolean whole = outcome == Outcome.SERVED || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
        if (whole && call.life == call.server.incarnation()) {
            idle.computeIfAbsent(call.server.number, n -> new ArrayDeque<>()).addLast(new Idle(call.life, world.now()));
        } else if (call.life >= 0) {
            call.server.disconnect(call.life);
        }
        if (outcome == Outcome.SERVED && !open.over) {
            open.over = true;
            answer(open.request, Type.SERVED, (double) open.request.id);
        }
        forgetIfDone(open);
        tell(new AttemptEnded(
                open.request.id,
                call.attempt,
                call.server.id,
                outcome,
                world.now() - call.sentAt,
                open.over,
                inFlight < 0 ? null : new double[] {inFlight}));
    }

    private void probe(Server server) {
        if (server == null) {
            return;
        }
        probes++;
        int mine = life;
        double sentAt = world.now();
        double way = world.delay(number, server) + world.delay(number, server);
        boolean lost = server.state() == Server.State.SILENT || world.cut(number, server.number);
        world.later(lost ? PROBE_TIMEOUT_MS : way, () -> {
            if (life == mine) {
                tell(new HealthChecked(
                        server.id, !lost && server.state() == Server.State.UP, world.now() - sentAt, null));
            }
        });
    }

    private void closeIdle(Server server) {
        ArrayDeque<Idle> own = server == null ? null : idle.remove(server.number);
        if (own != null) {
            own.forEach(i -> server.disconnect(i.life()));
        }
    }
}
