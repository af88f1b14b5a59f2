package dewplank.emulator.fleet;

/** One incarnation of a server, as the platform's list names it; {@code address} is {@code IP:PORT}. */
public record ServerIdentity(String instanceId, String service, String zone, ServerStage stage, String address) {}
