package dewplank.dataplane;

/**
 * The transfer of one request's KV cache from the prefill server that stores it to a decode server. A cache can be
 * fetched only once, so its handle is sent to one decode server, and is freed unless a response shows that the server
 * has fetched the cache. Not thread-safe; must be used on the event loop's thread only.
 */
final class KvTransfer {
    private enum State {
        /** No prefill server stores a cache for the request, or a decode server has fetched it. */
        EMPTY,
        /** A prefill server stores the cache, and its handle was not sent to a decode server. */
        RETAINED,
        /** The handle was sent to a decode server, which may have fetched the cache. */
        OFFERED
    }

    private final Forwarder forwarder;
    private State state = State.EMPTY;
    /** Null in {@link State#EMPTY}. */
    private KvHandle handle;

    KvTransfer(Forwarder forwarder) {
        this.forwarder = forwarder;
    }

    /** Stores the handle from a prefill server's response. */
    void retain(KvHandle prefilled) {
        moveTo(State.RETAINED, prefilled);
    }

    /** The zone of the server that stores the cache; null if there is no handle to offer. */
    String zone() {
        return state == State.RETAINED ? handle.server().state.zone() : null;
    }

    /** Returns the handle to send to the next decode server; null if there is none. */
    KvHandle offer() {
        if (state != State.RETAINED) {
            moveTo(State.EMPTY, null);
            return null;
        }
        state = State.OFFERED;
        return handle;
    }

    /** Records that the decode server has started its response, which means that it has fetched the cache. */
    void confirmFetched() {
        if (state == State.OFFERED) {
            moveTo(State.EMPTY, null);
        }
    }

    /** Records that no byte of the offer was sent, so that the handle can be offered to the next decode server. */
    void withdrawOffer() {
        if (state == State.OFFERED) {
            state = State.RETAINED;
        }
    }

    /** Frees the cache at the prefill server unless a decode server has confirmed fetching it. */
    void free() {
        KvHandle unused = handle;
        moveTo(State.EMPTY, null);
        if (unused != null) {
            unused.free(forwarder);
        }
    }

    private void moveTo(State next, KvHandle nextHandle) {
        state = next;
        handle = nextHandle;
    }
}
