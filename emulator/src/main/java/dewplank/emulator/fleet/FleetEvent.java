package dewplank.emulator.fleet;

import java.util.List;
import java.util.Optional;

/** An event that a stand-in observed or caused; {@code atMs} is the time on the clock of the stand-ins' event loop. */
public sealed interface FleetEvent {
    double atMs();

    /** How a run at a server ended. */
    enum RunEnd {
        COMPLETED,
        CALLER_LEFT,
        CRASHED
    }

    /** A fault or control operation that the test applies to a process. */
    enum ProcessFault {
        STARTED,
        KILLED,
        TERMINATED,
        FROZEN,
        THAWED,
        WIPED,
        /** SIGHUP after a change to the settings file. */
        RELOADED
    }

    // ---- clients --------------------------------------------------------------------------------------

    /** A client sent an attempt. */
    record AttemptSent(double atMs, String node, String attemptId, ClientRequest request) implements FleetEvent {}

    /** The attempt was sent on a connection that had already carried a response. */
    record ConnectionReused(double atMs, String attemptId) implements FleetEvent {}

    /** A client received bytes on a connection without a pending request. */
    record UnexpectedBytes(double atMs, String node, String text) implements FleetEvent {}

    /** A client received bytes of a stream. {@code seal} is empty if the response has none. */
    record StreamBytes(double atMs, String attemptId, int status, Optional<String> seal, String text)
            implements FleetEvent {}

    /**
     * An attempt ended. {@code status} is 0 if no response head was received; {@code seal} is empty if the response has
     * none.
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
        /** Whether a complete response with a status from 200 to 299 was received. */
        boolean isSuccess() {
            return complete && status / 100 == 2;
        }
    }

    // ---- servers --------------------------------------------------------------------------------------

    /** A server received a request, before it runs or rejects it. {@code tenant} is empty if the request names none. */
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
        /** Creates an event for a request that names no tenant. */
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

    /** A server started to run a request. */
    record RunStarted(double atMs, ServerIdentity server, String attemptId) implements FleetEvent {}

    /** A server rejected a request without running it. */
    record RunRejected(double atMs, ServerIdentity server, String attemptId, int status) implements FleetEvent {}

    /** A server sent a response that is not a stream. {@code seal} is empty if the response has none. */
    record ResponseSent(
            double atMs, ServerIdentity server, String attemptId, int status, Optional<String> seal, String body)
            implements FleetEvent {}

    /** A server sent the head of a stream. */
    record StreamStarted(double atMs, ServerIdentity server, String attemptId, String seal) implements FleetEvent {}

    /** A server sent an event of a stream. */
    record StreamEventSent(double atMs, ServerIdentity server, String attemptId, int id, String text)
            implements FleetEvent {}

    /** A server's run of a request ended. */
    record RunEnded(double atMs, ServerIdentity server, String attemptId, RunEnd end) implements FleetEvent {}

    /** A prefill server stored a KV cache for an attempt. */
    record HandleCreated(double atMs, ServerIdentity server, String handle, String attemptId) implements FleetEvent {}

    /** A decode server fetched a KV cache from a prefill server. */
    record HandleFetched(double atMs, String handle, String byAttemptId) implements FleetEvent {}

    /** A prefill server dropped a KV cache. */
    record HandleFreed(double atMs, String handle) implements FleetEvent {}

    // ---- platform -------------------------------------------------------------------------------------

    /** A process requested a page of the endpoint list; {@code status} is 0 if the platform did not respond. */
    record EndpointListRequested(double atMs, String node, int status) implements FleetEvent {}

    /** The endpoint list starts to show the server as draining. */
    record ListedDraining(double atMs, ServerIdentity server) implements FleetEvent {}

    // ---- operator -------------------------------------------------------------------------------------

    /** The operator sent a change; {@code document} is the resulting configuration, empty for an invalid change. */
    record ChangeSent(double atMs, long base, Optional<FleetConfiguration> document, String text)
            implements FleetEvent {}

    /** One control plane responded to a change; {@code status} is 0 if no response was received. */
    record ChangeAttempted(double atMs, String node, String text, int status) implements FleetEvent {}

    /** The operator received the final response to a change; {@code status} is 0 if no control plane sent one. */
    record ChangeResponded(double atMs, long base, Optional<FleetConfiguration> document, String text, int status)
            implements FleetEvent {}

    /** The operator read the configuration; {@code text} is empty if no control plane returned one. */
    record ReadBack(double atMs, double sentAtMs, String node, String text) implements FleetEvent {}

    // ---- processes ------------------------------------------------------------------------------------

    /** The test started, stopped or damaged a process. */
    record ProcessFaulted(double atMs, String node, MachineClass machineClass, ProcessFault fault)
            implements FleetEvent {}

    // ---- stand-ins ------------------------------------------------------------------------------------

    /** The stand-ins' event loop was stalled from {@code fromMs} to {@code atMs}. */
    record StandInsStalled(double atMs, double fromMs) implements FleetEvent {
        /** Returns the length of the stall within a time span, in milliseconds. */
        double overlapMs(double spanFromMs, double spanToMs) {
            return Math.max(0, Math.min(atMs, spanToMs) - Math.max(fromMs, spanFromMs));
        }
    }

    /** Returns the events of one type. */
    static <T extends FleetEvent> List<T> ofType(List<FleetEvent> events, Class<T> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
