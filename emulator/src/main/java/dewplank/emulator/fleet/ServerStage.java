package dewplank.emulator.fleet;

/** The part of a generation that a server runs, as the platform's list and the requests' header name it. */
public enum ServerStage {
    /** Runs complete requests; the platform's list names no stage for it. */
    NONE(""),
    /** Reads prompts and keeps their KV cache. */
    PREFILL("prefill"),
    /** Produces the events of streams. */
    DECODE("decode");

    private final String wireName;

    ServerStage(String wireName) {
        this.wireName = wireName;
    }

    /** The name in lists and headers; empty for {@link #NONE}. */
    String wireName() {
        return wireName;
    }

    /** Whether a request's header names this stage; {@code header}: null where the request has none. */
    boolean isNamedBy(String header) {
        return wireName.equals(header);
    }
}
