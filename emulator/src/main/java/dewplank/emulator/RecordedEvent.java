package dewplank.emulator;

/**
 * What a client, a server or the directory saw, as it recorded it itself. The auditor has nothing else to judge by.
 *
 * @param atMs milliseconds on the run's clock
 * @param request identifier of the attempt, or {@link #NONE}
 * @param requestClass index of the class in the scenario, or {@link #NONE}
 * @param sidecar number of the sidecar, or {@link #NONE}
 * @param server number of the server, or {@link #NONE}
 * @param value as its type says, or 0
 */
public record RecordedEvent(
        double atMs, Type type, long request, int requestClass, int sidecar, int server, double value) {

    /** In place of a number that the event does not have. */
    public static final int NONE = -1;

    /** What happened. */
    public enum Type {
        /** A client wrote an attempt to a sidecar, complete; value: its deadline. */
        SENT,
        /** A client got a 200; value: identifier of the attempt that the server made the response for. */
        SERVED,
        /** A client was rejected; value: Retry-After in milliseconds, or 0. */
        REFUSED,
        /** A client got any other final response. */
        FAILED,
        /** The connection to the sidecar ended without a complete response, or was never established. */
        UNREACHABLE,
        /** A client stopped waiting; value 1: before its deadline, by its own choice. */
        ABANDONED,
        /** The last byte of a request arrived at a server; value: its work there. */
        RECEIVED,
        /** The server responded that it did not work on it. */
        REJECTED,
        /** The server began to work on it. */
        STARTED,
        /** Its effect took place. */
        EFFECT,
        /** The repeat of a keyed request was recognised, and had no effect. */
        DEDUPLICATED,
        /** The directory notified a sidecar that a server is draining. */
        NOTIFIED_DRAINING,
        /** The directory notified a sidecar that a server is removed. */
        NOTIFIED_REMOVED,
        /** The directory notified a sidecar that a server is up; value: when its process started. */
        NOTIFIED_UP,
        /** A sidecar was killed, and lost its state. */
        SIDECAR_KILLED,
        /** A sidecar accepts requests from now on. */
        SIDECAR_UP,
        /** A server's process started cold; value: its capacity when warm, in work per millisecond. */
        SERVER_STARTED,
        /** A server's process ended; value 1: its machine vanished. */
        SERVER_DOWN,
        /** A cold server collapsed; value: the work that it was offered in the window. */
        SERVER_COLLAPSED
    }

    /** Gets each event at its time, on the world's thread. */
    public interface Recorder {
        /** Called once for each event. */
        void record(RecordedEvent event);
    }
}
