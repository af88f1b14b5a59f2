package dewplank.controlplane;

import dewplank.message.Endpoint;
import java.util.Collection;
import java.util.function.BooleanSupplier;

/** Calls to model servers' own interface. */
interface ModelServerClient {
    /** Takes an answer that came whole; nothing is told of a call that failed. */
    interface Answer {
        void taken(int status, byte[] body);
    }

    /** Asks for a server's state. */
    void report(Endpoint server, BooleanSupplier onlyIf, Answer answer);

    /**
     * Gives an order.
     *
     * @param onlyIf looked at immediately before the order is written
     */
    void order(Endpoint server, byte[] body, BooleanSupplier onlyIf, Answer answer);

    /** Forgets all servers at other addresses than these. */
    void keep(Collection<String> addresses);
}
