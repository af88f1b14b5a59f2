package dewplank.emulator.fleet;

import java.util.List;

/** Something that a stand-in saw or did. Times are those of the stand-ins' loop, in milliseconds. */
public sealed interface FleetEvent {
    double at();

    /** How a run at a server ended. */
    enum RunEnd {
        COMPLETED,
        CALLER_LEFT,
        CRASHED
    }

    /** What is done to a process. */
    enum ProcessFault {
        STARTED,
        KILLED,
        TERMINATED,
        FROZEN,
        THAWED,
        WIPED
    }

    // ---- clients --------------------------------------------------------------------------------------

    /** A client sent a try. */
    record AttemptSent(double at, String node, String attemptId, ClientRequest request) implements FleetEvent {}

    /** Bytes of a stream reached the client. */
    record StreamBytes(double at, String tryId, int status, String seal, String text) implements FleetEvent {}

    /** The try is over. {@code status} 0: no answer came, or the client left. */
    record AttemptEnded(
            double at, String attemptId, int status, String seal, String body, boolean complete, boolean abandoned)
            implements FleetEvent {}

    // ---- servers --------------------------------------------------------------------------------------

    /** A request reached a server, whatever becomes of it. */
    record Arrived(
            double at, ServerIdentity server, String tryId, boolean prefill, String method, String target, String body)
            implements FleetEvent {}

    /** A server began to work on a request. */
    record RunStarted(double at, ServerIdentity server, String tryId) implements FleetEvent {}

    /** A server turned a request away without running it. */
    record RunRejected(double at, ServerIdentity server, String tryId, int status) implements FleetEvent {}

    /** A server sent an answer that is not a stream. */
    record Answered(double at, ServerIdentity server, String tryId, int status, String seal, String body)
            implements FleetEvent {}

    /** A server sent the head of a stream. */
    record StreamBegun(double at, ServerIdentity server, String tryId, String seal) implements FleetEvent {}

    /** A server sent an event of a stream. */
    record StreamEventSent(double at, ServerIdentity server, String tryId, int id, String text) implements FleetEvent {}

    record RunEnded(double at, ServerIdentity server, String tryId, RunEnd how) implements FleetEvent {}

    record HandleCreated(double at, ServerIdentity server, String handle, String tryId) implements FleetEvent {}

    /** A decode server fetched what a prefill server kept. */
    record HandleFetched(double at, String handle, String byTryId) implements FleetEvent {}

    record HandleFreed(double at, String handle) implements FleetEvent {}

    // ---- platform -------------------------------------------------------------------------------------

    /** A process asked for a page of the list; {@code status} 0: no answer was given. */
    record EndpointListRequested(double at, String node, int status) implements FleetEvent {}

    /** From here on the list shows the server as draining. */
    record ListedDraining(double at, ServerIdentity server) implements FleetEvent {}

    // ---- operator -------------------------------------------------------------------------------------

    /** The operator began to send a change; {@code document}: what is in force if it is taken, null: it is invalid. */
    record ChangeSent(double at, long base, FleetConfiguration document, String text) implements FleetEvent {}

    /** One control sidecar's answer to a change; {@code status} 0: none came. */
    record ChangeAttempted(double at, String node, String text, int status) implements FleetEvent {}

    /** The operator has its answer to a change; {@code status} 0: none that is clear. */
    record ChangeAnswered(double at, long base, FleetConfiguration document, String text, int status)
            implements FleetEvent {}

    /** A configuration was read back. */
    record ReadBack(double at, double sentAt, String node, String text) implements FleetEvent {}

    // ---- processes ------------------------------------------------------------------------------------

    record ProcessFaulted(double at, String node, boolean core, ProcessFault fault) implements FleetEvent {}

    /** The events of one kind. */
    static <T extends FleetEvent> List<T> only(List<FleetEvent> events, Class<T> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
