package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.Collection;
import java.util.function.BooleanSupplier;

/** Requests to model servers' own interface. Called by {@link StageController}, on the loop's thread only. */
interface ModelServerClient {
    /** Takes a response that arrived in full, on the loop's thread; a call that failed is not reported. */
    interface ResponseHandler {
        void responded(int status, byte[] body);
    }

    /**
     * Requests a server's report of its state.
     *
     * @param onlyIf checked immediately before the request is written; nothing is sent where it is false
     */
    void requestReport(Endpoint server, BooleanSupplier onlyIf, ResponseHandler handler);

    /**
     * Sends an order.
     *
     * @param onlyIf checked immediately before the request is written; nothing is sent where it is false
     */
    void sendOrder(Endpoint server, byte[] body, BooleanSupplier onlyIf, ResponseHandler handler);

    /** Drops the connections to all servers at other addresses than these. */
    void retainOnly(Collection<String> addresses);
}
