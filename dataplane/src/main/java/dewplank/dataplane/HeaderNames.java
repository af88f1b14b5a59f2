package dewplank.dataplane;

/** Header fields of the operators' protocol, from its sections "Requests", "Servers" and "Prefill and decode". */
final class HeaderNames {
    static final String ATTEMPT_ID = "X-Dewplank-Request-Attempt-Id";
    static final String REMAINING_TIME = "X-Dewplank-Remaining-Time-Ms";
    static final String TARGET_INSTANCE = "X-Dewplank-Target-Instance";
    static final String SEAL = "X-Dewplank-Server-Seal";
    static final String NOT_EXECUTED = "X-Dewplank-Not-Executed";
    static final String PROMPT_PREFIX = "X-Dewplank-Prompt-Prefix";
    static final String STAGE = "X-Dewplank-Processing-Stage";
    static final String KV_FROM = "Kv-From";
    static final String LAST_EVENT_ID = "Last-Event-Id";
    static final String AUTHORIZATION = "Authorization";
    static final String TENANT = "X-Dewplank-Tenant-Name";
    static final String PRIORITY = "Priority";

    /** Whether only the data plane sets the field; a client's own field is dropped. */
    static boolean isSetByDataPlane(String name) {
        return name.equalsIgnoreCase(STAGE)
                || name.equalsIgnoreCase(KV_FROM)
                || name.equalsIgnoreCase(REMAINING_TIME)
                || name.equalsIgnoreCase(TARGET_INSTANCE)
                || name.equalsIgnoreCase(TENANT);
    }

    private HeaderNames() {}
}
