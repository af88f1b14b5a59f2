package dewplank.message;

import java.util.ArrayList;
import java.util.List;

/** All servers as last listed by the platform. */
public final class ServerList {
    public final ListVersion version;
    public final List<ServerEntry> servers;

    /** For Protostuff, which fills the fields and sends nothing for an empty list. */
    private ServerList() {
        this.version = null;
        this.servers = new ArrayList<>();
    }

    public ServerList(ListVersion version, List<ServerEntry> servers) {
        this.version = version;
        this.servers = servers;
    }
}
