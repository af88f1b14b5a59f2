package dewplank.emulator.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A configuration that the operator sends. Immutable; the names of routes, services and tenants are unique.
 *
 * @param tenants if empty, the document has no list of tenants, and no request needs an access key
 */
public record FleetConfiguration(
        long version, List<RouteSpec> routes, List<ServiceSpec> services, List<TenantSpec> tenants) {
    private static final List<String> LISTS = List.of("routes", "services", "tenants");

    public FleetConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        tenants = List.copyOf(tenants);
    }

    /** Creates a configuration without tenants. */
    public FleetConfiguration(long version, List<RouteSpec> routes, List<ServiceSpec> services) {
        this(version, routes, services, List.of());
    }

    /** Returns a copy with another version and other tenants. */
    public FleetConfiguration withTenants(long nextVersion, TenantSpec... nextTenants) {
        return new FleetConfiguration(nextVersion, routes, services, List.of(nextTenants));
    }

    /** Returns a copy with another version and the route added; it replaces a route with the same name. */
    public FleetConfiguration with(long nextVersion, RouteSpec route) {
        List<RouteSpec> next = new ArrayList<>(routes);
        next.removeIf(existing -> existing.name().equals(route.name()));
        next.add(route);
        return new FleetConfiguration(nextVersion, next, services, tenants);
    }

    /** Returns a copy with another version and without the named route. */
    public FleetConfiguration without(long nextVersion, String route) {
        List<RouteSpec> next = routes.stream()
                .filter(existing -> !existing.name().equals(route))
                .toList();
        return new FleetConfiguration(nextVersion, next, services, tenants);
    }

    /** Returns a copy with another version. */
    public FleetConfiguration withVersion(long nextVersion) {
        return new FleetConfiguration(nextVersion, routes, services, tenants);
    }

    /** Returns the route with the given name; throws if there is none. */
    public RouteSpec route(String name) {
        return routes.stream()
                .filter(route -> route.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the services to which a request may be sent; empty if no route matches. */
    Set<String> allowedServices(String host, String target) {
        return routes.stream()
                .filter(route -> route.host().equals(host) && target.startsWith(route.prefix()))
                .max(Comparator.comparingInt(route -> route.prefix().length()))
                .map(route -> route.split().stream()
                        .filter(weighted -> weighted.weight() > 0)
                        .map(WeightedService::service)
                        .collect(Collectors.toSet()))
                .orElse(Set.of());
    }

    /** Returns the document in the format of the operator's interface. */
    public JsonObject json() {
        JsonObject document = new JsonObject();
        document.addProperty("config_version", version);
        document.add("routes", array(routes.stream().map(RouteSpec::json).toList()));
        document.add("services", array(services.stream().map(ServiceSpec::json).toList()));
        document.add("limits", limits());
        if (!tenants.isEmpty()) {
            document.add("tenants", array(tenants.stream().map(TenantSpec::json).toList()));
        }
        return document;
    }

    /** Returns the patch that turns {@code base} into this configuration. */
    JsonObject patchFrom(FleetConfiguration base) {
        JsonObject patch = new JsonObject();
        patch.addProperty("config_version", version);
        JsonObject upsert = new JsonObject();
        JsonObject remove = new JsonObject();
        upsert.add(
                "routes",
                array(routes.stream()
                        .filter(route -> !base.routes.contains(route))
                        .map(RouteSpec::json)
                        .toList()));
        upsert.add(
                "services",
                array(services.stream()
                        .filter(service -> !base.services.contains(service))
                        .map(ServiceSpec::json)
                        .toList()));
        if (!tenants.equals(base.tenants)) {
            upsert.add("tenants", array(tenants.stream().map(TenantSpec::json).toList()));
        }
        JsonArray removedRoutes = new JsonArray();
        base.routes.stream()
                .map(RouteSpec::name)
                .filter(name -> routes.stream().noneMatch(route -> route.name().equals(name)))
                .forEach(removedRoutes::add);
        remove.add("routes", removedRoutes);
        patch.add("upsert", upsert);
        patch.add("remove", remove);
        return patch;
    }

    private static JsonArray array(List<JsonObject> objects) {
        JsonArray array = new JsonArray();
        objects.forEach(array::add);
        return array;
    }

    private static JsonObject limits() {
        JsonObject limits = new JsonObject();
        limits.addProperty("max_header_bytes", 16_384);
        limits.addProperty("max_body_bytes", 4_194_304);
        limits.addProperty("header_timeout_ms", 3_000);
        limits.addProperty("idle_timeout_ms", 15_000);
        return limits;
    }

    /** Whether a text is this configuration, irrespective of the order of its named items. */
    boolean hasSameContentAs(String text) {
        try {
            return withItemsByName(JsonParser.parseString(text).getAsJsonObject())
                    .equals(withItemsByName(json()));
        } catch (JsonParseException | IllegalStateException e) {
            return false;
        }
    }

    private static Map<String, Object> withItemsByName(JsonObject document) {
        Map<String, Object> all = new HashMap<>(document.asMap());
        for (String list : LISTS) {
            Map<String, JsonElement> items = new HashMap<>();
            JsonElement array = document.has(list) ? document.get(list) : new JsonArray();
            for (JsonElement item : array.getAsJsonArray()) {
                items.put(item.getAsJsonObject().get("name").getAsString(), item);
            }
            all.put(list, items);
        }
        return all;
    }

    /** Returns the version of the configuration in a text; -1 if the text is not a configuration. */
    static long versionOf(String text) {
        try {
            return JsonParser.parseString(text)
                    .getAsJsonObject()
                    .get("config_version")
                    .getAsLong();
        } catch (RuntimeException e) {
            return -1;
        }
    }
}
