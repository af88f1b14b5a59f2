package dewplank.emulator.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import dewplank.emulator.loopback.Addresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Creates the settings file of a control plane or data plane. */
final class SettingsFile {
    private static final int DISK_MB = 256;

    private SettingsFile() {}

    /** Returns the file's text; {@code data} is the data directory, empty for a machine without a disk. */
    static String of(
            FleetMachine machine,
            MachineLimits machineLimits,
            List<InetSocketAddress> seeds,
            boolean initialStart,
            Optional<Path> data) {
        JsonObject settings = new JsonObject();
        settings.addProperty("node_name", machine.node());
        settings.addProperty("machine_class", machine.machineClass().settingsName());
        settings.addProperty("ip_address", machine.address().getHostAddress());
        settings.addProperty("zone", machine.zone());
        settings.add("listen_addresses", listen(machine));
        settings.add(
                "internal_port_range",
                array(List.of(
                        new JsonPrimitive(FleetNetwork.FIRST_INTERNAL_PORT),
                        new JsonPrimitive(FleetNetwork.LAST_INTERNAL_PORT))));
        settings.add(
                "seed_nodes",
                array(seeds.stream()
                        .map(seed -> new JsonPrimitive(Addresses.format(seed)))
                        .toList()));
        settings.addProperty("initial_start", initialStart);
        settings.addProperty("loss_counted", machine.machineClass() == MachineClass.CORE);
        settings.add("limits", limits(machineLimits));
        settings.add(
                "data_directory",
                data.<JsonElement>map(path -> new JsonPrimitive(path.toString()))
                        .orElse(JsonNull.INSTANCE));
        settings.add("bounds", bounds());
        JsonObject platform = new JsonObject();
        platform.addProperty("address", Addresses.format(machine.platform()));
        platform.addProperty("rate_per_s", FleetBounds.MAX_LIST_REQUESTS_PER_S);
        platform.addProperty("max_lag_ms", FleetBounds.MAX_LIST_AGE_MS);
        settings.add("platform_api", platform);
        return settings.toString();
    }

    private static JsonObject listen(FleetMachine machine) {
        JsonObject listen = new JsonObject();
        if (machine.machineClass() == MachineClass.CORE) {
            listen.addProperty("control", Addresses.format(machine.control()));
        } else {
            listen.addProperty("front", Addresses.format(machine.front()));
            listen.addProperty("readiness", Addresses.format(machine.readiness()));
        }
        return listen;
    }

    private static JsonArray array(List<? extends JsonElement> elements) {
        JsonArray array = new JsonArray();
        elements.forEach(array::add);
        return array;
    }

    private static JsonObject limits(MachineLimits machineLimits) {
        JsonObject limits = new JsonObject();
        limits.addProperty("cpu_share", 1.0);
        limits.addProperty("core_count", 1);
        limits.addProperty("memory_mb", machineLimits.memoryMb());
        limits.addProperty("max_file_descriptors", machineLimits.maxFileDescriptors());
        limits.addProperty("disk_mb", DISK_MB);
        return limits;
    }

    private static JsonObject bounds() {
        JsonObject bounds = new JsonObject();
        bounds.addProperty("drain_ms", FleetBounds.DRAIN_MS);
        bounds.addProperty("grace_s", FleetBounds.GRACE_S);
        bounds.addProperty("contact_ms", FleetBounds.CONTACT_MS);
        bounds.addProperty("ack_ms", FleetBounds.ACK_MS);
        bounds.addProperty("config_apply_ms", FleetBounds.CONFIG_APPLY_MS);
        bounds.addProperty("retry_budget_ratio", FleetBounds.RETRY_BUDGET_RATIO);
        bounds.addProperty("budget_window_s", FleetBounds.BUDGET_WINDOW_S);
        bounds.addProperty("retry_budget_slack", FleetBounds.RETRY_BUDGET_SLACK);
        bounds.addProperty("lease_ms", FleetBounds.LEASE_MS);
        bounds.addProperty("thaw_slack_ms", FleetBounds.THAW_SLACK_MS);
        bounds.addProperty("revocation_closed", true);
        bounds.addProperty("revoke_ms", FleetBounds.REVOKE_MS);
        bounds.addProperty("quota_window_s", FleetBounds.QUOTA_WINDOW_S);
        bounds.addProperty("quota_overshoot", FleetBounds.QUOTA_OVERSHOOT);
        bounds.addProperty("quota_slack", FleetBounds.QUOTA_SLACK);
        return bounds;
    }
}
