package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.List;

/** The platform, which knows what servers there are. */
interface PlatformClient {
    /** How one reading of the list ended. */
    interface Ended {
        void listed(List<Endpoint> servers);

        void failed(String why);
    }

    /** Reads the whole list; one of the two is told afterwards. */
    void ask(Ended ended);
}
