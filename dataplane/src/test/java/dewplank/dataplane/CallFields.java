package dewplank.dataplane;

import dewplank.exchange.ScriptedServer.Call;

/** Header fields of the calls that servers receive; null if a call lacks the field. */
final class CallFields {
    /** The tenant that owns the client's access key, as stated by the data plane. */
    static final String TENANT_NAME = "X-Dewplank-Tenant-Name";
    /** The client's access key, which must not be forwarded to servers. */
    static final String AUTHORIZATION = "Authorization";

    private CallFields() {}

    static String attemptId(Call call) {
        return call.message().header("X-Dewplank-Request-Attempt-Id");
    }

    /** Fails if the field is missing. */
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
