package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.List;

/** The platform, which knows what servers there are. */
interface PlatformClient {
    /** How one reading of the list ended. */
    interface Callback {
        void completed(List<Endpoint> servers);

        void failed(String why);
    }

    /** Reads the whole list; one of the two is told afterwards. */
    void fetchInstances(Callback callback);
}
