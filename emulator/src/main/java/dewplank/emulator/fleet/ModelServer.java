package dewplank.emulator.fleet;

import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A model server: one that reads prompts and keeps them, or one that streams. A stream can be held behind an event
 * until it is let go on.
 */
public final class ModelServer extends StandInServer {
    private static final String HANDLE_PATH = "/kv-handle/";
    private static final double READ_MS = 4;
    private static final double BETWEEN_EVENTS_MS = 4;
    private static final int NEVER = Integer.MAX_VALUE;

    private final ContextHandles handles;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private volatile boolean rejectsHandles;
    private volatile boolean fetchesNever;
    private volatile int holdBehind = NEVER;
    private int streams;

    ModelServer(
            EventLoop loop, History history, ServerIdentity identity, InetSocketAddress address, ContextHandles handles)
            throws IOException {
        super(loop, history, identity, address);
        this.handles = handles;
    }

    /** From here on no handle can be fetched. */
    public void rejectHandles() {
        rejectsHandles = true;
    }

    /** From here on whatever is to be fetched is waited for, without end. */
    public void neverFetch() {
        fetchesNever = true;
    }

    /** Streams stop behind the event of this id until {@link #goOn}. */
    public void holdBehind(int id) {
        holdBehind = id;
    }

    /** Streams that were held, and all later ones, go on to their end. */
    public void goOn() {
        holdBehind = NEVER;
        loop.execute(() -> {
            while (!held.isEmpty()) {
                held.removeFirst().run();
            }
        });
    }

    @Override
    void take(Arrival a) {
        boolean prefill = ServerIdentity.PREFILL.equals(a.field(WireFields.STAGE));
        if (a.method.equals("DELETE") && a.target.startsWith(HANDLE_PATH)) {
            handles.free(loop.now(), identity(), a.target.substring(HANDLE_PATH.length()));
            a.answer(200, null, "");
        } else if (prefill != ServerIdentity.PREFILL.equals(identity().stage())) {
            a.turnAway(421);
        } else if (prefill) {
            prefill(a);
        } else {
            decode(a);
        }
    }

    private void prefill(Arrival a) {
        if (behaviour == Behaviour.SILENT) {
            return;
        }
        loop.after(READ_MS, () -> {
            if (a.open()) {
                String handle = handles.make(loop.now(), identity(), a.tryId);
                a.answer(
                        200, null, "{\"context_handle\":\"" + handle + "\",\"token_count\":1050,\"config_version\":1}");
            }
        });
    }

    private void decode(Arrival a) {
        String from = a.field(WireFields.KV_FROM);
        if (from != null && fetchesNever) {
            return;
        }
        if (from != null && (rejectsHandles || !handles.take(loop.now(), from, a.tryId))) {
            a.turnAway(503);
            return;
        }
        a.run();
        if (behaviour != Behaviour.SILENT) {
            new Stream(a).begin();
        }
    }

    /** The events of one run. */
    private final class Stream {
        private final Arrival arrival;
        private final int last;
        private int sent;

        Stream(Arrival arrival) {
            this.arrival = arrival;
            String counts = arrival.field(WireFields.TOKEN_COUNTS);
            this.last =
                    Integer.parseInt(counts.substring(counts.indexOf(',') + 1).strip());
            String resumed = arrival.field(WireFields.LAST_EVENT_ID);
            this.sent = resumed == null ? 0 : Integer.parseInt(resumed);
        }

        void begin() {
            arrival.beginStream(identity().instanceId() + "." + ++streams);
            loop.after(BETWEEN_EVENTS_MS, this::next);
        }

        private void next() {
            if (!arrival.open()) {
                return;
            }
            if (sent >= last) {
                arrival.endStream();
                return;
            }
            sent++;
            arrival.event(sent, StreamEvents.text(arrival.tryId, sent));
            if (sent == holdBehind) {
                held.addLast(this::next);
            } else {
                loop.after(BETWEEN_EVENTS_MS, this::next);
            }
        }
    }
}
