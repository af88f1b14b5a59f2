package dewplank.emulator.scenario;

/** Kinds of injected faults; scenario files contain their names in lower case. */
public enum FaultKind {
    /** Server processes crash. */
    CRASH,
    /** Server machines vanish: they send nothing more, not even a reset. */
    VANISH,
    /** Servers are slowed down. */
    SLOW,
    /** A neighbour on the machine intermittently uses part of its cores. */
    NEIGHBOUR,
    /** Servers pause repeatedly. */
    PAUSE,
    /** Servers are drained and replaced in batches. */
    DEPLOY,
    /** Requests of one class fail. */
    CLASS_ERRORS,
    /** Some requests crash the server that executes them. */
    POISON,
    /** Responses are lost after the request took effect. */
    LOST_ANSWERS,
    /** Connections are reset instead of a response. */
    RESETS,
    /** Servers are partitioned from sidecars. */
    CUT,
    /** Messages between sidecars and servers are lost. */
    LOSS,
    /** The load of all clients changes. */
    LOAD,
    /** The directory refuses calls and closes its watches. */
    DIRECTORY_DOWN,
    /** The directory accepts calls but sends no updates. */
    DIRECTORY_SILENT,
    /** Sidecar processes are killed. */
    SIDECAR_KILL,
    /** A zone's servers vanish, and some of its sidecars are killed. */
    ZONE_LOSS,
    /** Requests fail immediately, without any work. */
    ERRORS,
    /** The load of one tenant changes. */
    TENANT_LOAD
}
