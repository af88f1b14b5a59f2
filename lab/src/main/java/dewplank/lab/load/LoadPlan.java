package dewplank.lab.load;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What a load run is to do. {@code traceStartsMs}: recorded start times in milliseconds, or null; {@code headers}: with
 * {@code {id}} and {@code {class}} to be filled in.
 */
public record LoadPlan(
        List<Target> targets,
        Arrivals.Plan arrivals,
        double[] traceStartsMs,
        List<RequestClass> classes,
        List<String> headers,
        int connections,
        int threads,
        double timeoutMs,
        int sourceAddresses,
        long seed) {

    /** The same for so long at its first rate, to warm up code and connections. */
    public LoadPlan warmUp(double durationMs) {
        double ratePerSecond = arrivals.shape() == Arrivals.Shape.STEPS
                ? arrivals.stepRatesPerSecond().get(0)
                : arrivals.ratePerSecond();
        return new LoadPlan(
                targets,
                new Arrivals.Plan(Arrivals.Shape.POISSON, ratePerSecond, 0, List.of(), 0, 1, durationMs),
                null,
                classes,
                headers,
                connections,
                threads,
                timeoutMs,
                sourceAddresses,
                seed + 1);
    }

    /** One address, and the path to ask for there. */
    public record Target(InetSocketAddress address, String host, String path) {}

    /** A class of requests, drawn by its weight. */
    public record RequestClass(String name, double weight, String method, int bodyBytes) {}

    /** Reads {@code http://host:port/path}. Names are looked up once, before the run. */
    public static Target parseTarget(String url) {
        try {
            URI uri = new URI(url);
            if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
                throw new InvalidInputException("target " + url + ": only http://host:port/path is known");
            }
            int port = uri.getPort() < 0 ? 80 : uri.getPort();
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

    /** {@code NAME:WEIGHT[:METHOD[:BODY_BYTES]]}. */
    public static RequestClass parseClass(String text) {
        String[] parts = text.split(":", -1);
        try {
            if (parts.length >= 2 && parts.length <= 4 && !parts[0].isEmpty()) {
                double weight = Double.parseDouble(parts[1]);
                int bodyBytes = parts.length > 3 ? Integer.parseInt(parts[3]) : 0;
                if (weight > 0 && bodyBytes >= 0) {
                    return new RequestClass(
                            parts[0], weight, parts.length > 2 ? parts[2] : bodyBytes > 0 ? "POST" : "GET", bodyBytes);
                }
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new InvalidInputException(
                "class " + text + ": should be NAME:WEIGHT[:METHOD[:BODY_BYTES]], with a weight above 0");
    }

    /** Start times in milliseconds, one a line; further values on a line are skipped. */
    public static double[] readTrace(Path file) {
        List<Double> times = new ArrayList<>();
        int lineNumber = 0;
        try {
            for (String text : Files.readAllLines(file)) {
                lineNumber++;
                if (!text.isBlank() && !text.startsWith("#")) {
                    times.add(Double.parseDouble(text.split(",")[0].strip()));
                }
            }
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read: " + e.getMessage());
        } catch (NumberFormatException e) {
            throw new InvalidInputException(file + ":" + lineNumber + ": should begin with a time in milliseconds");
        }
        return times.stream().mapToDouble(d -> d).sorted().toArray();
    }
}
