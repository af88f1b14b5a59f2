package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.Collection;
import java.util.function.BooleanSupplier;

/** Calls to model servers' own interface. */
interface ModelServerClient {
    /** Takes an answer that came in full; nothing is told of a call that failed. */
    interface ResponseHandler {
        void responded(int status, byte[] body);
    }

    /** Asks for a server's state. */
    void requestReport(Endpoint server, BooleanSupplier onlyIf, ResponseHandler handler);

    /**
     * Gives an order.
     *
     * @param onlyIf looked at immediately before the order is written
     */
    void sendOrder(Endpoint server, byte[] body, BooleanSupplier onlyIf, ResponseHandler handler);

    /** Forgets all servers at other addresses than these. */
    void retainOnly(Collection<String> addresses);
}
