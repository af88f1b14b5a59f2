package dewplank.lab.load;

import dewplank.settings.InvalidInputException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.util.List;

/**
 * What a load run is to do.
 *
 * @param targets asked in turn
 * @param schedule when requests are to start
 * @param warmUpRatePerSecond the rate of {@link #warmUp}
 * @param classes of requests, drawn by their weights
 * @param headers of each request, as {@code NAME: VALUE}, with {@code {id}} and {@code {class}} to be filled in
 * @param connections open at the same time at the most, over all workers and targets; one for each of both at least
 * @param threads workers, each with a loop
 * @param timeoutMs from a request's sending
 * @param sourceAddresses loopback addresses for each worker to connect from; 0: the system chooses
 */
public record LoadPlan(
        List<Target> targets,
        Schedule schedule,
        double warmUpRatePerSecond,
        List<RequestClass> classes,
        List<String> headers,
        int connections,
        int threads,
        double timeoutMs,
        int sourceAddresses,
        long seed) {

    /** The same for so long at one rate, with another seed, to warm up code and connections. */
    public LoadPlan warmUp(double durationMs) {
        return new LoadPlan(
                targets,
                ShapedSchedule.poisson(warmUpRatePerSecond, durationMs),
                warmUpRatePerSecond,
                classes,
                headers,
                connections,
                threads,
                timeoutMs,
                sourceAddresses,
                seed + 1);
    }

    /**
     * One address, and the path to ask for there.
     *
     * @param host for the header {@code Host}
     * @param path with its query
     */
    public record Target(InetSocketAddress address, String host, String path) {
        private static final int DEFAULT_PORT = 80;

        /**
         * Reads {@code http://host:port/path}. The name is looked up once, here.
         *
         * @throws InvalidInputException if it is none, or its host is not known
         */
        public static Target parse(String url) {
            try {
                URI uri = new URI(url);
                if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
                    throw new InvalidInputException("target " + url + ": only http://host:port/path is known");
                }
                int port = uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort();
                String path = uri.getRawPath() == null || uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
                String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
                return new Target(
                        new InetSocketAddress(InetAddress.getByName(uri.getHost()), port),
                        uri.getAuthority(),
                        path + query);
            } catch (URISyntaxException e) {
                throw new InvalidInputException("target " + url + ": " + e.getMessage());
            } catch (UnknownHostException e) {
                throw new InvalidInputException("target " + url + ": no such host");
            }
        }
    }

    /** A class of requests. {@code weight}: above 0, any scale. */
    public record RequestClass(String name, double weight, String method, int bodyBytes) {
        /**
         * Reads {@code NAME:WEIGHT[:METHOD[:BODY_BYTES]]}; the method's default is POST with a body and GET without.
         *
         * @throws InvalidInputException if it is not of that form, or the weight is not above 0
         */
        public static RequestClass parse(String text) {
            String[] parts = text.split(":", -1);
            try {
                if (parts.length >= 2 && parts.length <= 4 && !parts[0].isEmpty()) {
                    double weight = Double.parseDouble(parts[1]);
                    int bodyBytes = parts.length > 3 ? Integer.parseInt(parts[3]) : 0;
                    String defaultMethod = bodyBytes > 0 ? "POST" : "GET";
                    if (weight > 0 && bodyBytes >= 0) {
                        return new RequestClass(
                                parts[0], weight, parts.length > 2 ? parts[2] : defaultMethod, bodyBytes);
                    }
                }
            } catch (NumberFormatException e) {
                // falls through to the message for all that is malformed
            }
            throw new InvalidInputException(
                    "class " + text + ": should be NAME:WEIGHT[:METHOD[:BODY_BYTES]], with a weight above 0");
        }

        /** Whether a request without a body says nothing of one, as usual for its method. */
        boolean mayOmitBody() {
            return bodyBytes == 0 && (method.equals("GET") || method.equals("HEAD"));
        }
    }
}
