package dewplank.emulator;

/**
 * An event that a client, a server or the directory recorded. The auditor checks a run by these events alone.
 *
 * @param atMs time of the event, in milliseconds of the run's clock
 * @param request identifier of the attempt, or {@link #NONE}
 * @param requestClass index of the class in the scenario, or {@link #NONE}
 * @param sidecar number of the sidecar, or {@link #NONE}
 * @param server number of the server, or {@link #NONE}
 * @param value defined by the type; otherwise 0
 */
public record RecordedEvent(
        double atMs, Type type, long request, int requestClass, int sidecar, int server, double value) {

    /** Used for a number that the event does not have. */
    public static final int NONE = -1;

    /** Type of an event. */
    public enum Type {
        /** A client sent a complete attempt to a sidecar; value: its deadline. */
        SENT,
        /** A client received a 200; value: identifier of the attempt that the server's response belongs to. */
        SERVED,
        /** A client's attempt was rejected; value: Retry-After in milliseconds, or 0. */
        REFUSED,
        /** A client received any other final response. */
        FAILED,
        /** The connection to the sidecar was closed without a complete response, or was never established. */
        UNREACHABLE,
        /** A client stopped waiting; value 1: voluntarily, before its deadline. */
        ABANDONED,
        /** A server received a complete request; value: the request's work at this server. */
        RECEIVED,
        /** The server rejected the request without executing it. */
        REJECTED,
        /** The server started to execute the request. */
        STARTED,
        /** The request took effect. */
        EFFECT,
        /** A repeated keyed request was deduplicated, and had no effect. */
        DEDUPLICATED,
        /** The directory notified a sidecar that a server is draining. */
        NOTIFIED_DRAINING,
        /** The directory notified a sidecar that a server has been removed. */
        NOTIFIED_REMOVED,
        /** The directory notified a sidecar that a server is up; value: start time of its process. */
        NOTIFIED_UP,
        /** A sidecar process was killed and lost its state. */
        SIDECAR_KILLED,
        /** A sidecar process started, and accepts requests. */
        SIDECAR_UP,
        /** A server's process started cold; value: its capacity once warm, in work per millisecond. */
        SERVER_STARTED,
        /** A server's process ended; value 1: its machine vanished. */
        SERVER_DOWN,
        /** A cold server collapsed under overload; value: the work offered to it in the window. */
        SERVER_COLLAPSED
    }

    /** Receives each event when it occurs, on the scheduler thread. */
    public interface Recorder {
        /** Called once for each event. */
        void record(RecordedEvent event);
    }
}
