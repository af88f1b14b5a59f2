package dewplank.client;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;

/**
 * The addresses at which control planes serve the operators' API: at least one, without duplicates.
 *
 * @param all the addresses as HOST:PORT, in the order in which they are called
 */
public record OperatorApiAddresses(List<String> all) {
    private static final int MAX_PORT = 65_535;

    /**
     * Copies the addresses without duplicates.
     *
     * @throws IllegalArgumentException if there are none
     */
    public OperatorApiAddresses {
        all = all.stream().distinct().toList();
        if (all.isEmpty()) {
            throw new IllegalArgumentException("no control plane address is given");
        }
    }

    /**
     * Parses addresses separated by commas.
     *
     * @throws IllegalArgumentException if one is not HOST:PORT
     */
    public static OperatorApiAddresses parse(String text) {
        List<String> all = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            all.add(requireHostAndPort(part.strip()));
        }
        return new OperatorApiAddresses(all);
    }

    /** Returns the seed addresses of a settings file. */
    public static OperatorApiAddresses ofSeeds(List<InetSocketAddress> seeds) {
        return new OperatorApiAddresses(
                seeds.stream().map(s -> s.getHostString() + ":" + s.getPort()).toList());
    }

    private static String requireHostAndPort(String text) {
        try {
            URI uri = new URI("http://" + text);
            boolean isHostAndPort =
                    uri.getHost() != null && text.equals(uri.getRawAuthority()) && uri.getRawUserInfo() == null;
            if (isHostAndPort && uri.getPort() > 0 && uri.getPort() <= MAX_PORT) {
                return text;
            }
        } catch (URISyntaxException e) {
            // Reported below like any other malformed address.
        }
        throw new IllegalArgumentException("'" + text + "' should be HOST:PORT, such as 10.0.0.4:8146");
    }
}
