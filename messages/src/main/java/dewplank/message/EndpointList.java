package dewplank.message;

import java.util.ArrayList;
import java.util.List;

/** All servers as last listed by the platform. */
public final class EndpointList {
    public final EndpointListVersion version;
    public final List<Endpoint> endpoints;

    /** For Protostuff, which fills the fields and sends nothing for an empty list. */
    private EndpointList() {
        this.version = null;
        this.endpoints = new ArrayList<>();
    }

    public EndpointList(EndpointListVersion version, List<Endpoint> endpoints) {
        this.version = version;
        this.endpoints = endpoints;
    }
}
