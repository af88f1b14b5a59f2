package dewplank.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses {@code host:port} with a literal IP address as host: there is no DNS beside a proxy. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses the address under a key.
     *
     * @throws InvalidInputException if it is missing or malformed; the message names the key
     */
    public static InetSocketAddress parse(Fields fields, String key) {
        String text = fields.text(key);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]") && port > 0 && port < 65536) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // reported below like any other malformed address
        }
        throw fields.outOfRange(key, "an address and a port, such as 10.0.0.4:5000");
    }
}
