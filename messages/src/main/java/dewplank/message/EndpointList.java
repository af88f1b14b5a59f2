package dewplank.message;

import java.util.ArrayList;
import java.util.List;

/**
 * All model servers as last reported by the platform, in the platform's order.
 *
 * <p>The lease holder of the singleton role that polls the platform sends the list to the other control planes, which
 * send it to data planes in a {@link FleetUpdate}. Control planes store it on disk in the same format.
 */
public final class EndpointList {
    public final EndpointListVersion version;
    public final List<Endpoint> endpoints;

    /** Used by Protostuff, which then sets the fields; it does not send empty lists, so the list is set here. */
    private EndpointList() {
        this.version = null;
        this.endpoints = new ArrayList<>();
    }

    public EndpointList(EndpointListVersion version, List<Endpoint> endpoints) {
        this.version = version;
        this.endpoints = endpoints;
    }
}
