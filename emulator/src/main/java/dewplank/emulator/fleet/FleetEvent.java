package dewplank.emulator.fleet;

import java.util.List;
import java.util.Optional;

/** An event that a stand-in observed or caused; {@code atMs} is the time of the stand-ins' loop. */
public sealed interface FleetEvent {
    double atMs();

    /** How a run at a server ended. */
    enum RunEnd {
        COMPLETED,
        CALLER_LEFT,
        CRASHED
    }

    /** What the test does to a process. */
    enum ProcessFault {
        STARTED,
        KILLED,
        TERMINATED,
        FROZEN,
        THAWED,
        WIPED,
        /** SIGHUP, with another settings file than before. */
        RELOADED
    }

    // ---- clients --------------------------------------------------------------------------------------

    /** A client sent an attempt. */
    record AttemptSent(double atMs, String node, String attemptId, ClientRequest request) implements FleetEvent {}

    /** The attempt was sent on a connection on which a response had come before. */
    record ConnectionReused(double atMs, String attemptId) implements FleetEvent {}

    /** Bytes came on a connection on which no request waited. */
    record UnexpectedBytes(double atMs, String node, String text) implements FleetEvent {}

    /** Bytes of a stream reached the client. {@code seal}: empty where the response has none. */
    record StreamBytes(double atMs, String attemptId, int status, Optional<String> seal, String text)
            implements FleetEvent {}

    /**
     * An attempt ended; {@code status} 0: no head of a response came. {@code seal}: empty where the response has none.
     */
    record AttemptEnded(
            double atMs,
            String attemptId,
            int status,
            Optional<String> seal,
            String body,
            boolean complete,
            boolean abandoned)
            implements FleetEvent {
        /** Whether a complete response with a status from 200 to 299 came. */
        boolean isSuccess() {
            return complete && status / 100 == 2;
        }
    }

    // ---- servers --------------------------------------------------------------------------------------

    /** A request reached a server, whatever becomes of it. {@code tenant}: empty where it names none. */
    record Arrived(
            double atMs,
            ServerIdentity server,
            String attemptId,
            boolean prefill,
            String method,
            String target,
            String body,
            Optional<String> tenant)
            implements FleetEvent {
        /** One that names no tenant. */
        Arrived(
                double atMs,
                ServerIdentity server,
                String attemptId,
                boolean prefill,
                String method,
                String target,
                String body) {
            this(atMs, server, attemptId, prefill, method, target, body, Optional.empty());
        }
    }

    /** A server began to work on a request. */
    record RunStarted(double atMs, ServerIdentity server, String attemptId) implements FleetEvent {}

    /** A server rejected a request without running it. */
    record RunRejected(double atMs, ServerIdentity server, String attemptId, int status) implements FleetEvent {}

    /** A server sent a response that is not a stream. {@code seal}: empty for one without. */
    record Answered(
            double atMs, ServerIdentity server, String attemptId, int status, Optional<String> seal, String body)
            implements FleetEvent {}

    /** A server sent the head of a stream. */
    record StreamBegun(double atMs, ServerIdentity server, String attemptId, String seal) implements FleetEvent {}

    /** A server sent an event of a stream. */
    record StreamEventSent(double atMs, ServerIdentity server, String attemptId, int id, String text)
            implements FleetEvent {}

    /** A run at a server ended. */
    record RunEnded(double atMs, ServerIdentity server, String attemptId, RunEnd how) implements FleetEvent {}

    /** A prefill server keeps a KV cache for an attempt. */
    record HandleCreated(double atMs, ServerIdentity server, String handle, String attemptId) implements FleetEvent {}

    /** A decode server fetched a KV cache from a prefill server. */
    record HandleFetched(double atMs, String handle, String byAttemptId) implements FleetEvent {}

    /** A prefill server dropped a KV cache. */
    record HandleFreed(double atMs, String handle) implements FleetEvent {}

    // ---- platform -------------------------------------------------------------------------------------

    /** A process requested a page of the endpoint list; {@code status} 0: the platform did not respond. */
    record EndpointListRequested(double atMs, String node, int status) implements FleetEvent {}

    /** The endpoint list shows the server as draining from now on. */
    record ListedDraining(double atMs, ServerIdentity server) implements FleetEvent {}

    // ---- operator -------------------------------------------------------------------------------------

    /** The operator began to send a change; {@code document}: the result of the change, empty where it is invalid. */
    record ChangeSent(double atMs, long base, Optional<FleetConfiguration> document, String text)
            implements FleetEvent {}

    /** One control plane's response to a change; {@code status} 0: none came. */
    record ChangeAttempted(double atMs, String node, String text, int status) implements FleetEvent {}

    /** The operator has the final response to a change; {@code status} 0: no control plane gave one. */
    record ChangeAnswered(double atMs, long base, Optional<FleetConfiguration> document, String text, int status)
            implements FleetEvent {}

    /** A configuration was read back; {@code text} is empty where none was served. */
    record ReadBack(double atMs, double sentAtMs, String node, String text) implements FleetEvent {}

    // ---- processes ------------------------------------------------------------------------------------

    /** The test started, stopped or damaged a process. */
    record ProcessFaulted(double atMs, String node, MachineClass machineClass, ProcessFault fault)
            implements FleetEvent {}

    // ---- stand-ins ------------------------------------------------------------------------------------

    /** The stand-ins' loop did nothing from {@code fromMs} until now. */
    record StandInsStalled(double atMs, double fromMs) implements FleetEvent {
        /** For how much of a span, in milliseconds. */
        double overlapMs(double spanFromMs, double spanToMs) {
            return Math.max(0, Math.min(atMs, spanToMs) - Math.max(fromMs, spanFromMs));
        }
    }

    /** The events of one kind. */
    static <T extends FleetEvent> List<T> only(List<FleetEvent> events, Class<T> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
