package dewplank.message;

import java.util.Objects;

/** One server as the platform lists it. */
public final class Endpoint {
    public final String instanceId;
    public final String service;
    public final String address;
    public final String zone;
    public final int slotCount;
    public final boolean draining;
    public final double warmupRemainingMs;
    /** Stage of a server that has been ordered to another one: it is to get nothing new. */
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

    /** The same in another stage. */
    public Endpoint withStage(String other) {
        return new Endpoint(instanceId, service, address, zone, slotCount, draining, warmupRemainingMs, other);
    }

    /** Equal but for the cold time, which counts down by itself. */
    public boolean equalsIgnoringWarmup(Endpoint e) {
        return e.instanceId.equals(instanceId)
                && e.service.equals(service)
                && e.address.equals(address)
                && Objects.equals(e.zone, zone)
                && e.slotCount == slotCount
                && e.draining == draining
                && Objects.equals(e.stage, stage);
    }
}
