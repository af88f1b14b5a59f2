package dewplank.emulator.fleet;

/** Header fields of the protocol between clients, the fleet and servers. */
final class WireFields {
    static final String ATTEMPT_ID = "X-Dewplank-Request-Attempt-Id";
    static final String REMAINING_TIME = "X-Dewplank-Remaining-Time-Ms";
    static final String TARGET_INSTANCE = "X-Dewplank-Target-Instance";
    static final String SEAL = "X-Dewplank-Server-Seal";
    static final String NOT_EXECUTED = "X-Dewplank-Not-Executed";
    static final String MODEL_NAME = "X-Dewplank-Model-Name";
    static final String TOKEN_COUNTS = "X-Dewplank-Token-Counts";
    static final String PROMPT_PREFIX = "X-Dewplank-Prompt-Prefix";
    static final String STAGE = "X-Dewplank-Processing-Stage";
    static final String KV_FROM = "Kv-From";
    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String RETRY_AFTER = "Retry-After";

    static final String AUTHORIZATION = "Authorization";
    static final String TENANT_NAME = "X-Dewplank-Tenant-Name";

    private WireFields() {}
}
