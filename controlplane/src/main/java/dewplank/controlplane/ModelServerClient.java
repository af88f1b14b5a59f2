package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.Collection;
import java.util.function.BooleanSupplier;

/** Sends requests to the interface of model servers. Called by {@link StageController}, on the loop's thread. */
interface ModelServerClient {
    /** Receives a complete response, on the loop's thread. A failed request is not reported. */
    interface ResponseHandler {
        void responded(int status, byte[] body);
    }

    /**
     * Requests a server's report of its state.
     *
     * @param onlyIf checked immediately before the request is written; if false, nothing is sent
     */
    void requestReport(Endpoint server, BooleanSupplier onlyIf, ResponseHandler handler);

    /**
     * Sends an order to a server.
     *
     * @param onlyIf checked immediately before the request is written; if false, nothing is sent
     */
    void sendOrder(Endpoint server, byte[] body, BooleanSupplier onlyIf, ResponseHandler handler);

    /** Discards the connections to all addresses other than these. */
    void retainOnly(Collection<String> addresses);
}
