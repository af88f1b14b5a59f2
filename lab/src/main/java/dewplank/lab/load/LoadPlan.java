package dewplank.lab.load;

import dewplank.settings.InvalidInputException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.util.List;

/**
 * The configuration of a load run.
 *
 * @param targets the targets, which receive the requests in turn
 * @param schedule the intended starts of the requests
 * @param warmUpRatePerSecond the rate of {@link #warmUp}
 * @param classes the classes of requests, drawn at random by weight
 * @param headers the headers of each request, as {@code NAME: VALUE}; {@code {id}} and {@code {class}} are replaced
 * @param connections maximum number of open connections over all workers and targets; each worker may open at least
 *     one per target
 * @param threads number of workers, each with an event loop
 * @param timeoutMs time from sending a request to its timeout
 * @param sourceAddresses number of loopback addresses that each worker connects from; 0: the system chooses
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

    /** A plan with a constant rate and another seed that warms up code and connections before this one. */
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
     * An address and the path to request there.
     *
     * @param host value of the {@code Host} header
     * @param path the path and the query
     */
    public record Target(InetSocketAddress address, String host, String path) {
        private static final int DEFAULT_PORT = 80;

        /**
         * Parses {@code http://host:port/path}. The host name is resolved only once, by this call.
         *
         * @throws InvalidInputException if the URL is malformed or its host cannot be resolved
         */
        public static Target parse(String url) {
            try {
                URI uri = new URI(url);
                if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
                    throw new InvalidInputException("target " + url + ": expected http://host:port/path");
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

    /** A class of requests. {@code weight}: above 0, relative to the other classes. */
    public record RequestClass(String name, double weight, String method, int bodyBytes) {
        /**
         * Parses {@code NAME:WEIGHT[:METHOD[:BODY_BYTES]]}; the default method is POST with a body and GET without.
         *
         * @throws InvalidInputException if the text does not have that form or the weight is not above 0
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
                // reported below, like other malformed texts
            }
            throw new InvalidInputException(
                    "class " + text + ": expected NAME:WEIGHT[:METHOD[:BODY_BYTES]] with a weight above 0");
        }

        /** Whether the request is sent without a Content-Length header: it has no body, and its method needs none. */
        boolean mayOmitBody() {
            return bodyBytes == 0 && (method.equals("GET") || method.equals("HEAD"));
        }
    }
}
