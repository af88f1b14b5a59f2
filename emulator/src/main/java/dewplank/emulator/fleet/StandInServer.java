package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.RunEnd;
import dewplank.emulator.loopback.Addresses;
import dewplank.emulator.loopback.HttpEndpoint;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Stands in for a server: takes requests that are meant for it, and tells the history what it did with them. */
public abstract class StandInServer {
    private static final String REPORT_PATH = "/report";

    /** How it takes requests. */
    public enum Behaviour {
        WORKS,
        /** Turns requests away: it has no room. */
        FULL,
        /** Takes requests and says nothing. */
        SILENT
    }

    private static final int MOST_CONNECTIONS = 1_024;

    final EventLoop loop;
    final History history;
    private final ServerIdentity identity;
    private final InetSocketAddress address;
    private final Set<End> ends = new HashSet<>();
    private Listener listener;
    volatile Behaviour behaviour = Behaviour.WORKS;

    StandInServer(EventLoop loop, History history, ServerIdentity identity, InetSocketAddress address)
            throws IOException {
        this.loop = loop;
        this.history = history;
        this.identity = identity;
        this.address = address;
        listener = new Listener(loop, address, MOST_CONNECTIONS, End::new);
        loop.execute(listener::accept);
    }

    static ServerIdentity identity(String instanceId, String service, String zone, String stage, InetSocketAddress at) {
        return new ServerIdentity(instanceId, service, zone, stage, Addresses.text(at));
    }

    public ServerIdentity identity() {
        return identity;
    }

    public void behaviour(Behaviour next) {
        behaviour = next;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Its process ends at once, and all its connections with it. */
    public void crash() {
        CompletableFuture<Void> down = new CompletableFuture<>();
        loop.execute(() -> {
            down();
            down.complete(null);
        });
        StandInOperator.waitFor(down);
    }

    private void down() {
        listener.close();
        List.copyOf(ends).forEach(End::crash);
    }

    /** Takes a request that is meant for this server. */
    abstract void take(Arrival arrival);

    final void note(FleetEvent event) {
        history.add(event);
    }

    /** A request at this server, and the way to answer it. */
    final class Arrival {
        final String tryId;
        final String method;
        final String target;
        final String body;
        private final RequestParser request;
        private final End end;
        private boolean running;

        private Arrival(RequestParser request, End end) {
            this.request = request;
            this.end = end;
            this.tryId = String.valueOf(request.headers().get(WireFields.ATTEMPT_ID));
            this.method = request.method();
            this.target = request.target();
            this.body = new String(request.takeBody(), StandardCharsets.UTF_8);
        }

        String field(String name) {
            return request.headers().get(name);
        }

        boolean open() {
            return end.isOpen();
        }

        /** Work begins. */
        void run() {
            running = true;
            note(new FleetEvent.RunStarted(loop.now(), identity, tryId));
        }

        /** Work ends; told once. */
        void ended(RunEnd how) {
            if (running) {
                running = false;
                note(new FleetEvent.RunEnded(loop.now(), identity, tryId, how));
            }
        }

        void turnAway(int status) {
            note(new FleetEvent.RunRejected(loop.now(), identity, tryId, status));
            end.reply(head(status).header(WireFields.NOT_EXECUTED, "1"), "");
        }

        /** Sends the whole answer. */
        void answer(int status, String seal, String text) {
            ended(RunEnd.COMPLETED);
            note(new FleetEvent.Answered(loop.now(), identity, tryId, status, seal, text));
            end.reply(head(status).header(WireFields.SEAL, seal), text);
        }

        private MessageWriter head(int status) {
            return MessageWriter.response(status).header(WireFields.ATTEMPT_ID, tryId);
        }

        void beginStream(String seal) {
            note(new FleetEvent.StreamBegun(loop.now(), identity, tryId, seal));
            end.part(head(200)
                    .header(WireFields.SEAL, seal)
                    .header("Content-Type", "text/event-stream")
                    .header("Transfer-Encoding", "chunked")
                    .noBody());
        }

        void event(int id, String text) {
            note(new FleetEvent.StreamEventSent(loop.now(), identity, tryId, id, text));
            end.part(Chunks.of(text));
        }

        void endStream() {
            ended(RunEnd.COMPLETED);
            end.last();
        }
    }

    private final class End extends HttpEndpoint {
        private Arrival arrival;

        @Override
        protected void opened() {
            ends.add(this);
        }

        @Override
        protected void ended() {
            ends.remove(this);
            if (arrival != null) {
                arrival.ended(RunEnd.CALLER_LEFT);
            }
        }

        void crash() {
            ends.remove(this);
            if (arrival != null) {
                arrival.ended(RunEnd.CRASHED);
            }
            close();
        }

        boolean isOpen() {
            return open();
        }

        @Override
        protected void request(RequestParser request) {
            if (request.target().equals(REPORT_PATH)) {
                reply(MessageWriter.response(200), report());
                return;
            }
            Arrival a = new Arrival(request, this);
            arrival = a;
            note(new FleetEvent.Arrived(
                    loop.now(),
                    identity,
                    a.tryId,
                    ServerIdentity.PREFILL.equals(a.field(WireFields.STAGE)),
                    a.method,
                    a.target,
                    a.body));
            String meant = a.field(WireFields.TARGET_INSTANCE);
            if (meant != null && !meant.equals(identity.instanceId())) {
                a.turnAway(421);
            } else if (behaviour == Behaviour.FULL) {
                a.turnAway(503);
            } else {
                take(a);
            }
        }

        /** Another holder's order is always under way here, so that no stage changes but by the stories themselves. */
        private String report() {
            return "{\"stage\":\"" + identity.stage() + "\",\"models\":[],\"busy\":true,\"sequence_number\":1,"
                    + "\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_capacity\":1,\"context_handles\":0}";
        }

        void reply(MessageWriter head, String text) {
            answer(head.body(text.getBytes(StandardCharsets.UTF_8)));
        }

        void part(ByteBuffer bytes) {
            write(bytes);
        }

        void last() {
            answer(Chunks.last());
        }
    }
}
