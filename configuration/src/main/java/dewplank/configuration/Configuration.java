package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.NamedItem.RouteItem;
import dewplank.configuration.NamedItem.ServiceItem;
import dewplank.configuration.NamedItem.TenantItem;
import dewplank.configuration.Section.ItemList;
import dewplank.configuration.Section.PlainValue;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * A complete, valid configuration. Immutable; any thread may use it. Built by the control plane from operators' changes
 * and by the data plane from what it receives.
 *
 * <p>It stores the JSON text of each item together with the parsed item, so that a change parses only the items that it
 * contains, and so that fields unknown to this program are passed through unchanged.
 */
public final class Configuration {
    /** The field of a configuration's version. */
    static final String VERSION = "config_version";

    private static final String LIMITS = "limits";

    private final Map<String, Section> sections;
    private final long version;
    private final List<Route> routes;
    private final Map<String, Service> services;
    private final RequestLimits limits;
    private final List<Tenant> tenants;
    private final TenantDirectory tenantDirectory;

    /** Creates a configuration from its top-level fields; throws if they are invalid together. */
    Configuration(Map<String, Section> sections) throws InvalidConfigurationException {
        this.sections = Collections.unmodifiableMap(sections);
        this.version = readVersion(sections);
        this.routes = Collections.unmodifiableList(readRoutes(requireItemList(NamedItem.ROUTES)));
        this.services = Collections.unmodifiableMap(readServices(requireItemList(NamedItem.SERVICES)));
        this.limits = readLimits(sections);
        this.tenants = Collections.unmodifiableList(readTenants(sections));
        this.tenantDirectory = new TenantDirectory(tenants);
        RouteValidator.validate(routes, services);
    }

    /**
     * Parses a complete configuration.
     *
     * @param json its text in UTF-8
     * @throws InvalidConfigurationException if the text is invalid; contains the invalid key
     */
    public static Configuration parse(byte[] json) throws InvalidConfigurationException {
        return of(JsonTextReader.readObject(json));
    }

    /** Reads the configuration that an object describes; throws if it is invalid. */
    static Configuration of(JsonObject object) throws InvalidConfigurationException {
        Map<String, Section> sections = new LinkedHashMap<>();
        for (Map.Entry<String, JsonValue> member : object.members().entrySet()) {
            sections.put(member.getKey(), Section.read(member.getKey(), member.getValue()));
        }
        return new Configuration(sections);
    }

    /**
     * Returns this configuration with a patch applied, without modifying this one.
     *
     * @param json the patch: a version above this one's, items to add or replace, names to remove
     * @throws InvalidConfigurationException if the patch or the result is invalid; contains the invalid key
     */
    public Configuration patched(byte[] json) throws InvalidConfigurationException {
        return patched(JsonTextReader.readObject(json));
    }

    /** Returns this configuration with the patch that an object describes. */
    Configuration patched(JsonObject patch) throws InvalidConfigurationException {
        Configuration next = new Configuration(ConfigurationPatch.apply(sections, patch));
        if (next.version <= version) {
            throw new InvalidConfigurationException(Reason.VERSION_NOT_ABOVE, VERSION, "is not above " + version);
        }
        return next;
    }

    /** Its version, above 0. */
    public long version() {
        return version;
    }

    /**
     * The complete configuration as JSON without spaces, in UTF-8; a new array at each call. It contains access keys,
     * so output for people and logs uses {@link #redactedJson} instead.
     */
    public byte[] json() {
        return write(NamedItem::json);
    }

    /**
     * The same JSON with each access key replaced by its fingerprint. Must not be sent to a control plane, which would
     * read the fingerprints as keys.
     */
    public byte[] redactedJson() {
        return write(AccessKeyRedaction::json);
    }

    private byte[] write(Function<NamedItem, byte[]> itemJson) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        char separator = '{';
        for (Map.Entry<String, Section> section : sections.entrySet()) {
            out.write(separator);
            JsonTextWriter.writeString(out, section.getKey());
            out.write(':');
            write(out, section.getValue(), itemJson);
            separator = ',';
        }
        out.write('}');
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, Section section, Function<NamedItem, byte[]> itemJson) {
        if (section instanceof PlainValue plain) {
            out.writeBytes(plain.json());
        } else if (section instanceof ItemList list) {
            out.write('[');
            for (int index = 0; index < list.items().size(); index++) {
                if (index > 0) {
                    out.write(',');
                }
                out.writeBytes(itemJson.apply(list.items().get(index)));
            }
            out.write(']');
        }
    }

    /** Its routes in the order of the text; unmodifiable. */
    public List<Route> routes() {
        return routes;
    }

    /** Its services by name, in the order of the text; unmodifiable. */
    public Map<String, Service> services() {
        return services;
    }

    /** Its limits; the defaults if it has none. */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Whether requests need an access key, except on public routes. They do if the configuration has a list of tenants,
     * even an empty one, so that removing the last tenant does not open the other routes.
     */
    public boolean requiresAccessKeys() {
        return sections.containsKey(NamedItem.TENANTS);
    }

    /** Its tenants in the order of the text; unmodifiable, empty if it has no list of tenants. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** The index of its tenants by access key and by name. */
    public TenantDirectory tenantDirectory() {
        return tenantDirectory;
    }

    /** Its top-level fields by name, in the order of the text. */
    Map<String, Section> sections() {
        return sections;
    }

    private static long readVersion(Map<String, Section> sections) throws InvalidConfigurationException {
        JsonObjectReader fields = plainField(sections, VERSION);
        if (!fields.has(VERSION)) {
            throw new InvalidConfigurationException(Reason.MISSING_VERSION, VERSION, "is absent");
        }
        long version = fields.longValue(VERSION, 0, Long.MIN_VALUE);
        if (version <= 0) {
            throw new InvalidConfigurationException(Reason.VERSION_NOT_ABOVE, VERSION, "is not above 0");
        }
        return version;
    }

    private static RequestLimits readLimits(Map<String, Section> sections) throws InvalidConfigurationException {
        Optional<JsonObjectReader> present = plainField(sections, LIMITS).object(LIMITS);
        if (present.isEmpty()) {
            return RequestLimits.DEFAULTS;
        }
        JsonObjectReader fields = present.get();
        RequestLimits defaults = RequestLimits.DEFAULTS;
        return new RequestLimits(
                fields.intValue("max_header_bytes", defaults.maxHeaderBytes(), 1),
                fields.intValue("max_body_bytes", defaults.maxBodyBytes(), 0),
                fields.doubleValue("header_timeout_ms", defaults.headerTimeoutMs(), 0),
                fields.doubleValue("idle_timeout_ms", defaults.idleTimeoutMs(), 0));
    }

    private static JsonObjectReader plainField(Map<String, Section> sections, String field)
            throws InvalidConfigurationException {
        Section section = sections.get(field);
        if (section == null) {
            return new JsonObjectReader(new JsonObject(Map.of()), "");
        }
        if (section instanceof PlainValue plain) {
            return new JsonObjectReader(new JsonObject(Map.of(field, JsonTextReader.read(plain.json()))), "");
        }
        throw new InvalidConfigurationException(Reason.WRONG_TYPE, field, "is a list");
    }

    private ItemList requireItemList(String field) throws InvalidConfigurationException {
        if (sections.get(field) instanceof ItemList list) {
            return list;
        }
        throw new InvalidConfigurationException(Reason.MISSING_FIELD, field, "is absent");
    }

    private static List<Route> readRoutes(ItemList list) {
        List<Route> routes = new ArrayList<>(list.items().size());
        for (NamedItem item : list.items()) {
            routes.add(((RouteItem) item).route());
        }
        return routes;
    }

    private static List<Tenant> readTenants(Map<String, Section> sections) throws InvalidConfigurationException {
        Section section = sections.getOrDefault(NamedItem.TENANTS, ItemList.EMPTY);
        if (!(section instanceof ItemList list)) {
            throw new InvalidConfigurationException(Reason.WRONG_TYPE, NamedItem.TENANTS, "is not a list");
        }
        List<Tenant> tenants = new ArrayList<>(list.items().size());
        for (NamedItem item : list.items()) {
            tenants.add(((TenantItem) item).tenant());
        }
        return tenants;
    }

    private static Map<String, Service> readServices(ItemList list) {
        Map<String, Service> services = new LinkedHashMap<>();
        for (NamedItem item : list.items()) {
            services.put(item.name(), ((ServiceItem) item).service());
        }
        return services;
    }
}
