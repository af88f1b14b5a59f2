package dewplank.emulator.fleet;

import java.util.List;

/** Something that a stand-in saw or did. Times are those of the stand-ins' loop, in milliseconds. */
public sealed interface FleetEvent {
    double at();

    /** How a run at a server ended. */
    enum RunEnd {
        WHOLE,
        CALLER_LEFT,
        CRASHED
    }

    /** What is done to a process. */
    enum Trouble {
        STARTED,
        KILLED,
        TERMINATED,
        FROZEN,
        THAWED,
        WIPED
    }

    // ---- clients --------------------------------------------------------------------------------------

    /** A client sent a try. */
    record TrySent(double at, String node, String tryId, ClientRequest request) implements FleetEvent {}

    /** Bytes of a stream reached the client. */
    record Piece(double at, String tryId, int status, String seal, String text) implements FleetEvent {}

    /** The try is over. {@code status} 0: no answer came, or the client left. */
    record TryEnded(double at, String tryId, int status, String seal, String body, boolean whole, boolean left)
            implements FleetEvent {}

    // ---- servers --------------------------------------------------------------------------------------

    /** A request reached a server, whatever becomes of it. */
    record Arrived(
            double at, ServerIdentity server, String tryId, boolean prefill, String method, String target, String body)
            implements FleetEvent {}

    /** A server began to work on a request. */
    record Ran(double at, ServerIdentity server, String tryId) implements FleetEvent {}

    /** A server turned a request away without running it. */
    record TurnedAway(double at, ServerIdentity server, String tryId, int status) implements FleetEvent {}

    /** A server sent an answer that is not a stream. */
    record Answered(double at, ServerIdentity server, String tryId, int status, String seal, String body)
            implements FleetEvent {}

    /** A server sent the head of a stream. */
    record StreamBegun(double at, ServerIdentity server, String tryId, String seal) implements FleetEvent {}

    /** A server sent an event of a stream. */
    record Emitted(double at, ServerIdentity server, String tryId, int id, String text) implements FleetEvent {}

    record RunEnded(double at, ServerIdentity server, String tryId, RunEnd how) implements FleetEvent {}

    record HandleMade(double at, ServerIdentity server, String handle, String tryId) implements FleetEvent {}

    /** A decode server fetched what a prefill server kept. */
    record HandleTaken(double at, String handle, String byTryId) implements FleetEvent {}

    record HandleFreed(double at, String handle) implements FleetEvent {}

    // ---- platform -------------------------------------------------------------------------------------

    /** A process asked for a page of the list; {@code status} 0: no answer was given. */
    record ListCalled(double at, String node, int status) implements FleetEvent {}

    /** From here on the list shows the server as draining. */
    record ShownDraining(double at, ServerIdentity server) implements FleetEvent {}

    // ---- operator -------------------------------------------------------------------------------------

    /** The operator began to send a change; {@code document}: what is in force if it is taken, null: it is invalid. */
    record ChangeSent(double at, long base, FleetConfiguration document, String text) implements FleetEvent {}

    /** One control sidecar's answer to a change; {@code status} 0: none came. */
    record ChangeTried(double at, String node, String text, int status) implements FleetEvent {}

    /** The operator has its answer to a change; {@code status} 0: none that is clear. */
    record ChangeAnswered(double at, long base, FleetConfiguration document, String text, int status)
            implements FleetEvent {}

    /** A configuration was read back. */
    record ReadBack(double at, double sentAt, String node, String text) implements FleetEvent {}

    // ---- processes ------------------------------------------------------------------------------------

    record Troubled(double at, String node, boolean core, Trouble trouble) implements FleetEvent {}

    /** The events of one kind. */
    static <T extends FleetEvent> List<T> only(List<FleetEvent> events, Class<T> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
