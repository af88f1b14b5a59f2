package dewplank.client;

import dewplank.configuration.Configuration;
import dewplank.configuration.Tenant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Formats the tenants of a configuration for operators, without their access keys. */
public final class TenantText {
    private TenantText() {}

    /** Formats the tenants as a table. */
    public static String of(Configuration configuration) {
        String version = "configuration " + configuration.version();
        if (!configuration.requiresAccessKeys()) {
            return version + " has no tenants: no request needs an access key\n";
        }
        TextTable table = new TextTable("TENANT", "KEYS", "PRIORITY", "RATE/S", "BURST", "LIMITED");
        for (Tenant tenant : configuration.tenants()) {
            table.row(
                    tenant.name(),
                    keyCount(tenant),
                    priority(tenant),
                    ConfigurationText.number(tenant.ratePerSecond()),
                    ConfigurationText.number(tenant.burst()),
                    tenant.isLimited() ? "yes" : "no");
        }
        return version + "\n" + table;
    }

    private static String priority(Tenant tenant) {
        return tenant.priority().isPresent()
                ? Integer.toString(tenant.priority().getAsInt())
                : "its route's";
    }

    /** Returns the number of distinct keys. */
    private static long keyCount(Tenant tenant) {
        return tenant.keys().stream().distinct().count();
    }

    /** Formats the tenants as JSON. */
    public static String json(Configuration configuration) {
        List<Map<String, Object>> tenants =
                configuration.tenants().stream().map(TenantText::fields).toList();
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("config_version", configuration.version());
        out.put("keys_required", configuration.requiresAccessKeys());
        out.put("tenants", tenants);
        return JsonValues.toJson(out);
    }

    private static Map<String, Object> fields(Tenant tenant) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", tenant.name());
        fields.put("access_key_count", keyCount(tenant));
        fields.put("priority", tenant.priority().isPresent() ? tenant.priority().getAsInt() : null);
        fields.put("rate_per_s", tenant.ratePerSecond());
        fields.put("burst_size", tenant.burst());
        fields.put("limited", tenant.isLimited());
        return fields;
    }
}
