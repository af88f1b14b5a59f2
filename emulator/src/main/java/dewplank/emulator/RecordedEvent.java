package dewplank.emulator;

/**
 * What one party saw, in its own record. The auditor has nothing else to judge by. Fields that a kind does not use are
 * -1 or 0.
 *
 * @param at       milliseconds on the run's clock
 * @param request  the try's id
 * @param kind     the class's place in the scenario
 * @param sidecar  the sidecar's number
 * @param server   the server's number
 * @param value    as the event says
 */
public record RecordedEvent(
        double atMs, Type type, long request, int requestClass, int sidecar, int server, double value) {

    /** In place of a number that the event does not have. */
    public static final int NONE = -1;

    public enum Type {
        /** A client's try was written whole to a sidecar; value: the time at which it stops waiting. */
        SENT,
        /** A client got a 200; value: the id of the request that the server made it for. */
        SERVED,
        /** A client was refused; value: the advice when to come back, in milliseconds, or 0. */
        REFUSED,
        /** A client got any other final answer. */
        FAILED,
        /** The connection to the sidecar ended without a whole answer, or never came up. */
        UNREACHABLE,
        /** A client stopped waiting; value 1: before its time was up, by its own choice. */
        ABANDONED,
        /** The last byte of a request came to a server; value: its work. */
        RECEIVED,
        /** The server said that it never ran. */
        REJECTED,
        /** The server began to work on it. */
        STARTED,
        /** Its effect took place. */
        EFFECT,
        /** A keyed repeat was recognised: it had no effect of its own. */
        DEDUPLICATED,
        /** The directory told a sidecar that a server drains. */
        NOTIFIED_DRAINING,
        /** The directory told a sidecar that a server is gone. */
        NOTIFIED_REMOVED,
        /** The directory told a sidecar that a server is up; value: when it started, or 0 for long ago. */
        NOTIFIED_UP,
        /** A sidecar was killed: what it held is lost with it. */
        SIDECAR_KILLED,
        /** A sidecar took requests from here on. */
        SIDECAR_UP,
        /** A server's process started cold; value: its capacity when warm, in work per millisecond. */
        SERVER_STARTED,
        /** A server's process ended, or its machine went silent. */
        SERVER_DOWN,
        /** A cold server broke down under what it was sent. */
        SERVER_COLLAPSED
    }

    public interface Recorder {
        void record(RecordedEvent note);
    }
}
