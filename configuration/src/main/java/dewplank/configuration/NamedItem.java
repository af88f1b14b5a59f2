package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonObject;
import java.util.Arrays;

/** An item of a named list: its JSON text, and the parsed item if this program reads the list. Immutable. */
sealed interface NamedItem {
    /** The name of the list of routes. */
    String ROUTES = "routes";
    /** The name of the list of services. */
    String SERVICES = "services";
    /** The name of the list of tenants. */
    String TENANTS = "tenants";

    /** A route. */
    record RouteItem(String name, byte[] json, Route route) implements NamedItem {}

    /** A service. */
    record ServiceItem(String name, byte[] json, Service service) implements NamedItem {}

    /** A tenant. Its text contains its access keys. */
    record TenantItem(String name, byte[] json, Tenant tenant) implements NamedItem {}

    /** An item of a list that this program passes through without reading it. */
    record OtherItem(String name, byte[] json) implements NamedItem {}

    /** Its name, unique within the list. */
    String name();

    /** Its JSON text without spaces. */
    byte[] json();

    /** Whether the other item has the same JSON text. */
    default boolean hasSameJson(NamedItem other) {
        return other == this || other != null && Arrays.equals(json(), other.json());
    }

    /** Reads an item of a list from its value. */
    static NamedItem read(String list, int index, JsonValue value) throws InvalidConfigurationException {
        if (!(value instanceof JsonObject object)) {
            throw new InvalidConfigurationException(Reason.WRONG_TYPE, list + "[" + index + "]", "is not an object");
        }
        String name = new JsonObjectReader(object, list, Integer.toString(index)).name();
        byte[] json = JsonTextWriter.write(object);
        return switch (list) {
            case ROUTES -> new RouteItem(name, json, RouteReader.read(name, object));
            case SERVICES -> new ServiceItem(name, json, ServiceReader.read(name, object));
            case TENANTS -> new TenantItem(name, json, TenantReader.read(name, object));
            default -> new OtherItem(name, json);
        };
    }
}
