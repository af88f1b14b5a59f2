package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.List;

/** Client of the platform, which lists the model servers. Called by {@link EndpointPoller}, on the loop's thread. */
interface PlatformClient {
    /** Receives the result of one fetch; exactly one of the two methods is called, on the loop's thread. */
    interface Callback {
        /** The fetch succeeded; {@code instances} is the complete list, which the receiver may modify. */
        void completed(List<Endpoint> instances);

        /** The fetch failed; {@code reason} is a short description for the log. */
        void failed(String reason);
    }

    /** Fetches the complete list. Must not be called again before the result of the previous fetch. */
    void fetchInstances(Callback callback);
}
