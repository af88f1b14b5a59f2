package dewplank.dataplane;

/**
 * The KV cache that was prefilled for one request: kept until it is offered to one decode server, and freed where no
 * decode server was seen to take it. It is offered once, as a handle may be taken a single time.
 */
final class KvTransfer {
    private final Forwarder forwarder;
    private KvHandle kept;
    private KvHandle offered;

    KvTransfer(Forwarder forwarder) {
        this.forwarder = forwarder;
    }

    void keep(KvHandle handle) {
        kept = handle;
    }

    /** The zone of the server that keeps it; null where there is none. */
    String zone() {
        return kept == null ? null : kept.server().state.zone();
    }

    /** What the next decode server is told of; null where there is none. */
    KvHandle offer() {
        offered = kept;
        kept = null;
        return offered;
    }

    /** The decode server has it. */
    void taken() {
        offered = null;
    }

    /** Nothing of the offer was sent: the next decode server may have it. */
    void notSent() {
        kept = offered;
        offered = null;
    }

    /** Gives back what nobody will take, or was offered and not seen to be taken. */
    void free() {
        KvHandle unused = kept == null ? offered : kept;
        kept = null;
        offered = null;
        if (unused != null) {
            unused.free(forwarder);
        }
    }
}
