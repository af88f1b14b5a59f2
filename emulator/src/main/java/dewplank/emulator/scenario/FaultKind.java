package dewplank.emulator.scenario;

/** Kinds of faults; in scenario files they are written in lower case. */
public enum FaultKind {
    /** Server processes end. */
    CRASH,
    /** Server machines vanish: nothing comes back from them, not even a reset. */
    VANISH,
    /** Servers work more slowly. */
    SLOW,
    /** A neighbour on the machine takes part of its cores, on and off. */
    NEIGHBOUR,
    /** Servers pause at intervals. */
    PAUSE,
    /** Servers are drained and replaced, batch after batch. */
    DEPLOY,
    /** Requests of one class fail. */
    CLASS_ERRORS,
    /** Some requests crash the server that works on them. */
    POISON,
    /** Responses are lost after the request took effect. */
    LOST_ANSWERS,
    /** Connections are reset in place of a response. */
    RESETS,
    /** Servers are partitioned from sidecars. */
    CUT,
    /** Messages between sidecars and servers are lost. */
    LOSS,
    /** The load of all clients changes. */
    LOAD,
    /** The directory refuses calls and ends its watches. */
    DIRECTORY_DOWN,
    /** The directory accepts calls and sends no updates. */
    DIRECTORY_SILENT,
    /** Sidecar processes are killed. */
    SIDECAR_KILL,
    /** A zone's servers vanish, with some of its sidecars. */
    ZONE_LOSS,
    /** Requests fail at once, without work. */
    ERRORS,
    /** The load of one tenant changes. */
    TENANT_LOAD
}
