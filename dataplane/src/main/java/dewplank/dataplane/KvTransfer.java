package dewplank.dataplane;

/**
 * The transfer of one request's KV cache from the prefill server that holds it to a decode server. A handle may be
 * taken a single time, so it is offered once, and freed where no decode server was seen to take it. On the event loop's
 * thread only.
 */
final class KvTransfer {
    private enum State {
        /** No prefill server holds anything for the request, or a decode server has taken it. */
        EMPTY,
        /** A prefill server holds the cache, and no decode server has its handle. */
        RETAINED,
        /** A decode server has its handle, and may have fetched it. */
        OFFERED
    }

    private final Forwarder forwarder;
    private State state = State.EMPTY;
    /** Null in {@link State#EMPTY}. */
    private KvHandle handle;

    KvTransfer(Forwarder forwarder) {
        this.forwarder = forwarder;
    }

    /** A prefill server has answered with this handle. */
    void retain(KvHandle prefilled) {
        moveTo(State.RETAINED, prefilled);
    }

    /** The zone of the server that holds the cache; null where there is none to offer. */
    String zone() {
        return state == State.RETAINED ? handle.server().state.zone() : null;
    }

    /** The handle for the next decode server; null where there is none. */
    KvHandle offer() {
        if (state != State.RETAINED) {
            moveTo(State.EMPTY, null);
            return null;
        }
        state = State.OFFERED;
        return handle;
    }

    /** The decode server has begun to answer: it has the cache. */
    void confirmTaken() {
        if (state == State.OFFERED) {
            moveTo(State.EMPTY, null);
        }
    }

    /** No byte of the offer left this process: the next decode server may have the handle. */
    void withdrawOffer() {
        if (state == State.OFFERED) {
            state = State.RETAINED;
        }
    }

    /** Has the prefill server drop what nobody will take, or what was offered and not seen to be taken. */
    void free() {
        KvHandle unused = handle;
        moveTo(State.EMPTY, null);
        if (unused != null) {
            unused.free(forwarder);
        }
    }

    private void moveTo(State next, KvHandle held) {
        state = next;
        handle = held;
    }
}
