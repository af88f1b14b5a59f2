package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;

/**
 * Names a KV cache that a prefill server stores for one request, until it is taken, freed, or lapses.
 *
 * @param id printable ASCII without a slash, as {@link PrefillResponse} has checked
 */
record KvHandle(Server server, String id) {
    /** A free that is not answered by then is given up: the handle lapses by itself ({@code context_hold_s}). */
    private static final double FREE_TIMEOUT_MS = 1_000;

    /** The value of {@link HeaderNames#KV_FROM} that leads a decode server to it. */
    String location() {
        return server.addressText + "/" + id;
    }

    /**
     * Has its server drop it; does no harm where it has been taken or has lapsed. The answer bears no id, so that on a
     * shared connection nothing would tell it from another request's.
     */
    void free(Forwarder forwarder) {
        EventLoop loop = forwarder.loop();
        forwarder.counters().add(Counters.Count.FREED);
        DiscardingListener listener = new DiscardingListener();
        HttpCall delete = new HttpCall(
                        loop,
                        server.address,
                        server.pool,
                        MessageWriter.request("DELETE", "/kv-handle/" + id, server.addressText)
                                .header(HeaderNames.TARGET_INSTANCE, server.state.instanceId())
                                .body(new byte[0]),
                        listener)
                .exclusive();
        delete.start(forwarder.connectTimeoutMs());
        listener.cancelWhenOver(loop.after(FREE_TIMEOUT_MS, delete::cancel));
    }
}
