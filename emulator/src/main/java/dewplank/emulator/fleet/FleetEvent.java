package dewplank.emulator.fleet;

import java.util.List;
import java.util.Optional;

/** Something that a stand-in saw or did. Times are those of the stand-ins' loop, in milliseconds. */
public sealed interface FleetEvent {
    double atMs();

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
    record AttemptSent(double atMs, String node, String attemptId, ClientRequest request) implements FleetEvent {}

    /** Bytes of a stream reached the client. */
    record StreamBytes(double atMs, String attemptId, int status, String seal, String text) implements FleetEvent {}

    /** The try is over. {@code status} 0: no answer came, or the client left. */
    record AttemptEnded(
            double atMs, String attemptId, int status, String seal, String body, boolean complete, boolean abandoned)
            implements FleetEvent {
        /** Whether a complete response with a status from 200 to 299 came. */
        boolean isSuccess() {
            return complete && status / 100 == 2;
        }
    }

    // ---- servers --------------------------------------------------------------------------------------

    /** A request reached a server, whatever becomes of it. */
    record Arrived(
            double atMs,
            ServerIdentity server,
            String attemptId,
            boolean prefill,
            String method,
            String target,
            String body)
            implements FleetEvent {}

    /** A server began to work on a request. */
    record RunStarted(double atMs, ServerIdentity server, String attemptId) implements FleetEvent {}

    /** A server turned a request away without running it. */
    record RunRejected(double atMs, ServerIdentity server, String attemptId, int status) implements FleetEvent {}

    /** A server sent an answer that is not a stream. */
    record Answered(double atMs, ServerIdentity server, String attemptId, int status, String seal, String body)
            implements FleetEvent {}

    /** A server sent the head of a stream. */
    record StreamBegun(double atMs, ServerIdentity server, String attemptId, String seal) implements FleetEvent {}

    /** A server sent an event of a stream. */
    record StreamEventSent(double atMs, ServerIdentity server, String attemptId, int id, String text)
            implements FleetEvent {}

    record RunEnded(double atMs, ServerIdentity server, String attemptId, RunEnd how) implements FleetEvent {}

    record HandleCreated(double atMs, ServerIdentity server, String handle, String attemptId) implements FleetEvent {}

    /** A decode server fetched what a prefill server kept. */
    record HandleFetched(double atMs, String handle, String byAttemptId) implements FleetEvent {}

    record HandleFreed(double atMs, String handle) implements FleetEvent {}

    // ---- platform -------------------------------------------------------------------------------------

    /** A process asked for a page of the list; {@code status} 0: no answer was given. */
    record EndpointListRequested(double atMs, String node, int status) implements FleetEvent {}

    /** From here on the list shows the server as draining. */
    record ListedDraining(double atMs, ServerIdentity server) implements FleetEvent {}

    // ---- operator -------------------------------------------------------------------------------------

    /** The operator began to send a change; {@code document}: what is in force if it is taken, null: it is invalid. */
    record ChangeSent(double atMs, long base, Optional<FleetConfiguration> document, String text)
            implements FleetEvent {}

    /** One control sidecar's answer to a change; {@code status} 0: none came. */
    record ChangeAttempted(double atMs, String node, String text, int status) implements FleetEvent {}

    /** The operator has its answer to a change; {@code status} 0: none that is clear. */
    record ChangeAnswered(double atMs, long base, Optional<FleetConfiguration> document, String text, int status)
            implements FleetEvent {}

    /** A configuration was read back. */
    record ReadBack(double atMs, double sentAtMs, String node, String text) implements FleetEvent {}

    // ---- processes ------------------------------------------------------------------------------------

    record ProcessFaulted(double atMs, String node, MachineClass machineClass, ProcessFault fault)
            implements FleetEvent {}

    /** The events of one kind. */
    static <T extends FleetEvent> List<T> only(List<FleetEvent> events, Class<T> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
