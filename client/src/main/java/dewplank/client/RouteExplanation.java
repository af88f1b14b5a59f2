package dewplank.client;

import dewplank.configuration.Configuration;
import dewplank.configuration.RequestLimits;
import dewplank.configuration.Route;
import dewplank.configuration.RouteTable;
import dewplank.configuration.WeightedService;
import dewplank.settings.Fields;
import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Explains how requests for a host and path are routed: the route, whether it requires an access key, its traffic
 * split, its limits and its endpoints.
 */
public final class RouteExplanation {
    private static final int PERCENT = 100;
    private static final double TENTHS = 10;

    private final Configuration configuration;
    private final Route route;
    private final List<Fields> servers;

    private RouteExplanation(Configuration configuration, Route route, List<Fields> servers) {
        this.configuration = configuration;
        this.route = route;
        this.servers = servers;
    }

    /**
     * Finds the route for a host and path.
     *
     * @param servers the response with the endpoint list
     * @throws InvalidInputException if no route matches
     */
    public static RouteExplanation of(Configuration configuration, ControlResponse servers, String host, String path) {
        Route route = new RouteTable(configuration).find(host, path);
        if (route == null) {
            throw InvalidInputException.of(
                    ResultCode.NO_SUCH_ROUTE,
                    "configuration " + configuration.version() + " has no route for host " + host + " and path "
                            + path);
        }
        return new RouteExplanation(configuration, route, new Fields(servers.fields(), "").list("servers"));
    }

    private List<Fields> endpoints(String service) {
        return servers.stream().filter(s -> s.text("service").equals(service)).toList();
    }

    private double share(WeightedService target) {
        return target.weight()
                / route.split().stream().mapToDouble(WeightedService::weight).sum();
    }

    /** Returns the explanation as text. */
    public String text() {
        StringBuilder out = new StringBuilder();
        out.append("route ")
                .append(route.name())
                .append(" of configuration ")
                .append(configuration.version())
                .append(": host ")
                .append(route.host())
                .append(", paths below ")
                .append(route.pathPrefix())
                .append('\n');
        out.append("  ")
                .append(ConfigurationText.type(route))
                .append(", priority ")
                .append(route.priority())
                .append(", at most ")
                .append(route.maxAttempts())
                .append(route.maxAttempts() == 1 ? " server" : " servers")
                .append(" a request")
                .append(route.sticky() ? ", sticky" : "")
                .append('\n');
        out.append("  ").append(access()).append('\n');
        out.append("  held up to ")
                .append(ConfigurationText.number(route.timeoutMs()))
                .append(" ms, in time within ")
                .append(ConfigurationText.number(route.targetLatencyMs()))
                .append(" ms");
        if (route.maxEventGapMs() > 0) {
            out.append(", events at most ")
                    .append(ConfigurationText.number(route.maxEventGapMs()))
                    .append(" ms apart");
        }
        out.append("\n  clients: ")
                .append(ConfigurationText.limits(configuration.limits()))
                .append('\n');
        route.split().forEach(target -> split(out, target));
        return out.toString();
    }

    private boolean isKeyRequired() {
        return configuration.requiresAccessKeys() && !route.isPublic();
    }

    private String access() {
        if (isKeyRequired()) {
            return "needs the access key of a tenant";
        }
        return configuration.requiresAccessKeys()
                ? "needs no access key: the route is public"
                : "needs no access key: the configuration has no tenants";
    }

    private void split(StringBuilder out, WeightedService target) {
        double percent = Math.round(PERCENT * share(target) * TENTHS) / TENTHS;
        out.append(ConfigurationText.number(percent)).append(" % to service ").append(target.service());
        List<Fields> listed = endpoints(target.service());
        if (listed.isEmpty()) {
            out.append(": no server is listed\n");
            return;
        }
        out.append('\n');
        TextTable table = new TextTable("  INSTANCE", "ADDRESS", "ZONE", "STAGE", "STATE");
        for (Fields s : listed) {
            table.row(
                    "  " + s.text("instance_id"),
                    s.text("address"),
                    s.text("zone"),
                    s.text("stage", "-"),
                    s.flag("draining") ? "draining: gets nothing new" : "ready");
        }
        out.append(table);
    }

    /** Returns the explanation as JSON. */
    public String json() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("config_version", configuration.version());
        out.put("route", routeFields());
        out.put("split", route.split().stream().map(this::splitFields).toList());
        out.put("limits", limitFields());
        return JsonValues.toJson(out);
    }

    private Map<String, Object> limitFields() {
        RequestLimits limits = configuration.limits();
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("max_header_bytes", limits.maxHeaderBytes());
        out.put("max_body_bytes", limits.maxBodyBytes());
        out.put("header_timeout_ms", limits.headerTimeoutMs());
        out.put("idle_timeout_ms", limits.idleTimeoutMs());
        return out;
    }

    private Map<String, Object> routeFields() {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("name", route.name());
        out.put("host_name", route.host());
        out.put("path_prefix", route.pathPrefix());
        out.put("route_type", route.type().name().toLowerCase(Locale.ROOT));
        out.put("timeout_ms", route.timeoutMs());
        out.put("target_latency_ms", route.targetLatencyMs());
        out.put("priority", route.priority());
        out.put("max_attempts", route.maxAttempts());
        out.put("sticky", route.sticky());
        out.put("resumable", route.resumable());
        out.put("gap_aim_ms", route.maxEventGapMs());
        out.put("public", route.isPublic());
        out.put("key_required", isKeyRequired());
        return out;
    }

    private Map<String, Object> splitFields(WeightedService target) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("service", target.service());
        out.put("share", share(target));
        out.put(
                "servers",
                endpoints(target.service()).stream()
                        .map(RouteExplanation::serverFields)
                        .toList());
        return out;
    }

    private static Map<String, Object> serverFields(Fields server) {
        Map<String, Object> out = new LinkedHashMap<>();
        for (String key : List.of("instance_id", "address", "zone")) {
            out.put(key, server.text(key));
        }
        out.put("stage", server.text("stage", null));
        out.put("draining", server.flag("draining"));
        return out;
    }
}
