package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;

/**
 * Identifies a KV cache that a prefill server stores for one request until it is fetched, freed or expires.
 *
 * @param id printable ASCII without a slash, as {@link PrefillResponse} has checked
 */
record KvHandle(Server server, String id) {
    /**
     * Timeout for a request that frees the handle; it is not retried, because handles expire ({@code context_hold_s}).
     */
    private static final double FREE_TIMEOUT_MS = 1_000;

    /** The value of {@link HeaderNames#KV_FROM}: the location from which a decode server can fetch the cache. */
    String location() {
        return server.addressText + "/" + id;
    }

    /**
     * Sends a request to the server to free the cache, which has no effect if it was fetched or has expired. The
     * response has no attempt id and could be mistaken for another request's, so the connection is not shared.
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
                .useDedicatedConnection();
        delete.start(forwarder.connectTimeoutMs());
        listener.cancelWhenOver(loop.after(FREE_TIMEOUT_MS, delete::cancel));
    }
}
