package dewplank.controlplane;

import dewplank.message.ServerEntry;
import java.util.Collection;
import java.util.function.BooleanSupplier;

/** Calls to model servers' own interface. */
interface ModelServerClient {
    /** Takes an answer that came whole; nothing is told of a call that failed. */
    interface Answer {
        void taken(int status, byte[] body);
    }

    /** Asks for a server's state. */
    void report(ServerEntry server, BooleanSupplier onlyIf, Answer answer);

    /**
     * Gives an order.
     *
     * @param onlyIf looked at immediately before the order is written
     */
    void order(ServerEntry server, byte[] body, BooleanSupplier onlyIf, Answer answer);

    /** Forgets all servers at other addresses than these. */
    void keep(Collection<String> addresses);
}
