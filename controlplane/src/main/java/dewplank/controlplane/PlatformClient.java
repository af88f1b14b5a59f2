package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.List;

/** The platform, which knows what model servers there are. Called by {@link EndpointPoller}, on the loop's thread. */
interface PlatformClient {
    /** How one reading of the list ended; exactly one of the two is called, on the loop's thread. */
    interface Callback {
        /** The list was read; {@code instances} are all of them, in a list that the receiver may change. */
        void completed(List<Endpoint> instances);

        /** The list could not be read; {@code reason} is a few words for the log. */
        void failed(String reason);
    }

    /** Reads the whole list. The caller waits for the end of one reading before it begins the next. */
    void fetchInstances(Callback callback);
}
