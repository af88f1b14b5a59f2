package dewplank.message;

import java.util.ArrayList;
import java.util.List;

/**
 * All model servers as last reported by the platform, in its order.
 *
 * <p>The lease holder of the singleton role that polls the platform sends it to the other control planes; they send it
 * to data planes in a {@link FleetUpdate}. It is stored on control planes' disks in the same format.
 */
public final class EndpointList {
    public final EndpointListVersion version;
    public final List<Endpoint> endpoints;

    /** For Protostuff, which sets the fields and does not send an empty list. */
    private EndpointList() {
        this.version = null;
        this.endpoints = new ArrayList<>();
    }

    public EndpointList(EndpointListVersion version, List<Endpoint> endpoints) {
        this.version = version;
        this.endpoints = endpoints;
    }
}
