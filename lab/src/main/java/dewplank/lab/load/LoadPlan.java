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
 * What a load run is to do. {@code trace}: recorded start times in milliseconds, or null; {@code headers}: with
 * {@code {id}} and {@code {class}} to be filled in.
 */
public record LoadPlan(
        List<Target> targets,
        Arrivals.Plan arrivals,
        double[] trace,
        List<Kind> kinds,
        List<String> headers,
        int connections,
        int threads,
        double timeoutMs,
        int sources,
        long seed) {

    /** The same for so long at its first rate, to warm up code and connections. */
    public LoadPlan warmUp(double lengthMs) {
        double perS =
                arrivals.shape() == Arrivals.Shape.STEPS ? arrivals.steps().get(0) : arrivals.perS();
        return new LoadPlan(
                targets,
                new Arrivals.Plan(Arrivals.Shape.POISSON, perS, 0, List.of(), 0, 1, lengthMs),
                null,
                kinds,
                headers,
                connections,
                threads,
                timeoutMs,
                sources,
                seed + 1);
    }

    /** One address, and the path to ask for there. */
    public record Target(InetSocketAddress address, String host, String path) {}

    /** A class of requests, drawn by its weight. */
    public record Kind(String name, double weight, String method, int bodyBytes) {}

    /** Reads {@code http://host:port/path}. Names are looked up once, before the run. */
    public static Target target(String url) {
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
    public static Kind kind(String text) {
        String[] parts = text.split(":", -1);
        try {
            if (parts.length >= 2 && parts.length <= 4 && !parts[0].isEmpty()) {
                double weight = Double.parseDouble(parts[1]);
                int body = parts.length > 3 ? Integer.parseInt(parts[3]) : 0;
                if (weight > 0 && body >= 0) {
                    return new Kind(parts[0], weight, parts.length > 2 ? parts[2] : body > 0 ? "POST" : "GET", body);
                }
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new InvalidInputException(
                "class " + text + ": should be NAME:WEIGHT[:METHOD[:BODY_BYTES]], with a weight above 0");
    }

    /** Start times in milliseconds, one a line; further values on a line are skipped. */
    public static double[] trace(Path file) {
        List<Double> times = new ArrayList<>();
        int line = 0;
        try {
            for (String text : Files.readAllLines(file)) {
                line++;
                if (!text.isBlank() && !text.startsWith("#")) {
                    times.add(Double.parseDouble(text.split(",")[0].strip()));
                }
            }
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read: " + e.getMessage());
        } catch (NumberFormatException e) {
            throw new InvalidInputException(file + ":" + line + ": should begin with a time in milliseconds");
        }
        return times.stream().mapToDouble(d -> d).sorted().toArray();
    }
}
