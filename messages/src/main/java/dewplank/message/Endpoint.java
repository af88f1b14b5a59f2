package dewplank.message;

import java.util.Objects;

/**
 * One model server as the platform reports it.
 *
 * <p>Sent in an {@link EndpointList}: the order of the fields is part of the wire format.
 */
public final class Endpoint {
    public final String instanceId;
    public final String service;
    public final String address;
    /** Null if the platform reports none. */
    public final String zone;

    public final int slotCount;
    public final boolean draining;
    /** The reported remaining warm-up time of the server; 0 once it is warm. */
    public final double warmupRemainingMs;

    /** The stage of a server that is changing to another stage; it receives no new requests. */
    public static final String CHANGING = "changing";

    /** prefill, decode, {@link #CHANGING}, or null for a plain server. */
    public final String stage;

    public Endpoint(
            String instanceId,
            String service,
            String address,
            String zone,
            int slotCount,
            boolean draining,
            double warmupRemainingMs,
            String stage) {
        this.instanceId = instanceId;
        this.service = service;
        this.address = address;
        this.zone = zone;
        this.slotCount = slotCount;
        this.draining = draining;
        this.warmupRemainingMs = warmupRemainingMs;
        this.stage = stage;
    }

    /** Returns this endpoint with another stage. */
    public Endpoint withStage(String newStage) {
        return new Endpoint(instanceId, service, address, zone, slotCount, draining, warmupRemainingMs, newStage);
    }

    /**
     * Whether the endpoints are equal in all fields but the remaining warm-up time. That time decreases continuously,
     * so comparing it would make every reported list a new one.
     */
    public boolean equalsIgnoringWarmup(Endpoint other) {
        return other.instanceId.equals(instanceId)
                && other.service.equals(service)
                && other.address.equals(address)
                && Objects.equals(other.zone, zone)
                && other.slotCount == slotCount
                && other.draining == draining
                && Objects.equals(other.stage, stage);
    }
}
