package dewplank.emulator.fleet;

import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A model server of one stage, prefill or decode. Tests can pause its streams after an event and resume them. */
public final class ModelServer extends StandInServer {
    /** The outcome of fetches of KV caches from prefill servers. */
    private enum FetchBehaviour {
        SUCCEED,
        FAIL,
        STALL
    }

    private static final String HANDLE_PATH = "/kv-handle/";
    private static final double PREFILL_MS = 4;
    private static final double EVENT_INTERVAL_MS = 4;
    private static final int NO_PAUSE = Integer.MAX_VALUE;

    private final ContextHandles handles;
    private final Deque<Runnable> pausedStreams = new ArrayDeque<>();
    private volatile FetchBehaviour fetchBehaviour = FetchBehaviour.SUCCEED;
    private volatile int pauseStreamsAfter = NO_PAUSE;
    private int streams;

    ModelServer(
            EventLoop loop, History history, ServerIdentity identity, InetSocketAddress address, ContextHandles handles)
            throws IOException {
        super(loop, history, identity, address);
        this.handles = handles;
    }

    /** Makes later fetches of KV caches fail. */
    public void failHandleFetches() {
        fetchBehaviour = FetchBehaviour.FAIL;
    }

    /** Makes later fetches of KV caches hang. */
    public void stallHandleFetches() {
        fetchBehaviour = FetchBehaviour.STALL;
    }

    /** Pauses streams after the event with the given id until {@link #resumeStreams} is called. */
    public void pauseStreamsAfter(int id) {
        pauseStreamsAfter = id;
    }

    /** Resumes the paused streams and no longer pauses others. */
    public void resumeStreams() {
        pauseStreamsAfter = NO_PAUSE;
        loop.execute(() -> {
            while (!pausedStreams.isEmpty()) {
                pausedStreams.removeFirst().run();
            }
        });
    }

    @Override
    void handle(Arrival arrival) {
        boolean isPrefill = ServerStage.PREFILL.isNamedBy(arrival.header(WireFields.STAGE));
        if (arrival.method.equals("DELETE") && arrival.target.startsWith(HANDLE_PATH)) {
            handles.free(loop.now(), identity(), arrival.target.substring(HANDLE_PATH.length()));
            arrival.respond(200, "");
        } else if (isPrefill != (identity().stage() == ServerStage.PREFILL)) {
            arrival.reject(421);
        } else if (isPrefill) {
            prefill(arrival);
        } else {
            decode(arrival);
        }
    }

    private void prefill(Arrival arrival) {
        if (behaviour == Behaviour.UNRESPONSIVE) {
            return;
        }
        loop.after(PREFILL_MS, () -> {
            if (arrival.isOpen()) {
                String handle = handles.create(loop.now(), identity(), arrival.attemptId);
                arrival.respond(
                        200, "{\"context_handle\":\"" + handle + "\",\"token_count\":1050,\"config_version\":1}");
            }
        });
    }

    private void decode(Arrival arrival) {
        String from = arrival.header(WireFields.KV_FROM);
        FetchBehaviour currentBehaviour = fetchBehaviour;
        if (from != null && currentBehaviour == FetchBehaviour.STALL) {
            return;
        }
        if (from != null
                && (currentBehaviour == FetchBehaviour.FAIL || !handles.fetch(loop.now(), from, arrival.attemptId))) {
            arrival.reject(503);
            return;
        }
        arrival.startRun();
        if (behaviour != Behaviour.UNRESPONSIVE) {
            new Stream(arrival).begin();
        }
    }

    /** Sends the events of one run. */
    private final class Stream {
        private final Arrival arrival;
        private final int lastId;
        private int lastSentId;

        Stream(Arrival arrival) {
            this.arrival = arrival;
            String counts = arrival.header(WireFields.TOKEN_COUNTS);
            this.lastId =
                    Integer.parseInt(counts.substring(counts.indexOf(',') + 1).strip());
            String lastEventId = arrival.header(WireFields.LAST_EVENT_ID);
            this.lastSentId = lastEventId == null ? 0 : Integer.parseInt(lastEventId);
        }

        void begin() {
            arrival.startStream(identity().instanceId() + "." + ++streams);
            loop.after(EVENT_INTERVAL_MS, this::sendNext);
        }

        private void sendNext() {
            if (!arrival.isOpen()) {
                return;
            }
            if (lastSentId >= lastId) {
                arrival.endStream();
                return;
            }
            lastSentId++;
            arrival.sendEvent(lastSentId, StreamEvents.text(arrival.attemptId, lastSentId));
            if (lastSentId == pauseStreamsAfter) {
                pausedStreams.addLast(this::sendNext);
            } else {
                loop.after(EVENT_INTERVAL_MS, this::sendNext);
            }
        }
    }
}
