package dewplank.client;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;

/**
 * Where control sidecars take operators' calls.
 *
 * @param all each as HOST:PORT, in the order in which they are asked
 */
public record ControlAddresses(List<String> all) {
    private static final int MOST_PORT = 65_535;

    /** Takes a copy, without repeats. */
    public ControlAddresses {
        all = all.stream().distinct().toList();
        if (all.isEmpty()) {
            throw new IllegalArgumentException("there is no address of a control sidecar");
        }
    }

    /** Reads addresses with commas between them. */
    public static ControlAddresses parse(String text) {
        List<String> all = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            all.add(checked(part.strip()));
        }
        return new ControlAddresses(all);
    }

    /** The addresses that a settings file begins with. */
    public static ControlAddresses of(List<InetSocketAddress> seeds) {
        return new ControlAddresses(
                seeds.stream().map(s -> s.getHostString() + ":" + s.getPort()).toList());
    }

    private static String checked(String text) {
        try {
            URI uri = new URI("http://" + text);
            boolean whole = uri.getHost() != null && text.equals(uri.getRawAuthority()) && uri.getRawUserInfo() == null;
            if (whole && uri.getPort() > 0 && uri.getPort() <= MOST_PORT) {
                return text;
            }
        } catch (URISyntaxException e) {
            // named below, as any other malformed address
        }
        throw new IllegalArgumentException("'" + text + "' should be HOST:PORT, such as 10.0.0.4:8146");
    }
}
