package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;

/** A KV cache that a prefill server keeps for one request, until it is taken, freed, or lapses. */
record KvHandle(Server server, String id) {
    private static final double FREE_TIMEOUT_MS = 1_000;

    /** How a decode server is told where it is. */
    String location() {
        return server.addressText + "/" + id;
    }

    /**
     * Gives it back; does no harm where it has been taken or has lapsed. The answer bears no id, so that on a shared
     * connection nothing would tell it from another request's.
     */
    void free(Forwarder forwarder) {
        EventLoop loop = forwarder.loop();
        forwarder.counters().add(Counters.Count.FREED);
        HttpCall delete = new HttpCall(
                        loop,
                        server.address,
                        server.pool,
                        MessageWriter.request("DELETE", "/kv-handle/" + id, server.addressText)
                                .header(HeaderNames.TARGET_INSTANCE, server.state.instanceId())
                                .body(new byte[0]),
                        new DiscardingListener())
                .exclusive();
        delete.start(forwarder.connectTimeoutMs());
        loop.after(FREE_TIMEOUT_MS, delete::cancel);
    }
}
