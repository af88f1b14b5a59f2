package dewplank.dataplane;

import dewplank.exchange.ScriptedServer.Call;

/** Header fields of the calls that servers get, by the protocol's names; null where a call has none. */
final class CallFields {
    /** The tenant that holds the client's key, by the data plane's word. */
    static final String TENANT_NAME = "X-Dewplank-Tenant-Name";
    /** The client's key, which servers must not get. */
    static final String AUTHORIZATION = "Authorization";

    private CallFields() {}

    static String attemptId(Call call) {
        return call.message().header("X-Dewplank-Request-Attempt-Id");
    }

    /** The field must be there. */
    static long remainingTimeMs(Call call) {
        return Long.parseLong(call.message().header("X-Dewplank-Remaining-Time-Ms"));
    }

    static String targetInstance(Call call) {
        return call.message().header("X-Dewplank-Target-Instance");
    }

    static String stage(Call call) {
        return call.message().header("X-Dewplank-Processing-Stage");
    }

    static String kvFrom(Call call) {
        return call.message().header("Kv-From");
    }

    static String lastEventId(Call call) {
        return call.message().header("Last-Event-Id");
    }

    static String tenantName(Call call) {
        return call.message().header(TENANT_NAME);
    }
}
