package dewplank.emulator.fleet;

/** The stage of generations that a server runs, with its name in the platform's list and in the request header. */
public enum ServerStage {
    /** Runs requests that are not divided into stages; the platform's list contains no stage for the server. */
    NONE(""),
    /** Processes prompts and stores their KV caches. */
    PREFILL("prefill"),
    /** Generates the events of streams. */
    DECODE("decode");

    private final String wireName;

    ServerStage(String wireName) {
        this.wireName = wireName;
    }

    /** The name in lists and headers; empty for {@link #NONE}. */
    String wireName() {
        return wireName;
    }

    /** Whether a request's header names this stage; {@code header} is null if the request has no such header. */
    boolean isNamedBy(String header) {
        return wireName.equals(header);
    }
}
