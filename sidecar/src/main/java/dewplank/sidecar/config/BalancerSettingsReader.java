package dewplank.sidecar.config;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.Prices;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;
import dewplank.balancer.Settings.Tenant;
import dewplank.settings.Fields;
import java.util.Map;

/**
 * Reads the balancer's settings, which have the same format for the sidecar and the simulator.
 *
 * <p>Unknown keys are ignored. The class has no state and may be used from any thread.
 */
public final class BalancerSettingsReader {
    private BalancerSettingsReader() {}

    /**
     * Reads the balancer's settings.
     *
     * @throws dewplank.settings.InvalidInputException if a required key is missing or out of range; the message
     *     names the key
     */
    public static Settings read(Fields fields) {
        return new Settings(
                (int) fields.number("Me"),
                (int) fields.positive("ReplicasOfMe"),
                fields.text("Az"),
                fields.number("Tick"),
                fields.choice("RegistryMode", Map.of("pushed", true, "on_request", false)),
                "work".equals(fields.text("CountedBy")),
                !"none".equals(fields.text("Weights")),
                fields.optionalObject("FamilyInfo").flag("WarmKeys", false),
                fields.number("OverShareWorth", 1),
                fields.optionalObject("Feedback").strings("Names"),
                "probe".equals(fields.optionalObject("Feedback").text("Via", "none")),
                fields.list("Classes").stream()
                        .map(BalancerSettingsReader::requestClass)
                        .toList(),
                fields.list("Accounts").stream()
                        .map(BalancerSettingsReader::tenant)
                        .toList(),
                limits(fields.optionalObject("Limits")),
                safety(fields.optionalObject("Safety")),
                prices(fields.optionalObject("Tariffs")),
                goal(fields.optionalObject("Goal")));
    }

    private static RequestClass requestClass(Fields fields) {
        Idempotency idempotency = fields.choice(
                "Idempotency",
                Map.of(
                        "read_like",
                        Idempotency.SAFE,
                        "idempotency_key",
                        Idempotency.KEYED,
                        "non_idempotent",
                        Idempotency.UNSAFE));
        boolean keyed = idempotency == Idempotency.KEYED;
        DeduplicationScope scope = keyed
                ? fields.choice(
                        "KeyScope",
                        Map.of(
                                "all",
                                DeduplicationScope.ALL,
                                "zone",
                                DeduplicationScope.ZONE,
                                "cell",
                                DeduplicationScope.CELL))
                : DeduplicationScope.ALL;
        return new RequestClass(
                fields.text("Name"),
                idempotency,
                scope,
                keyed ? fields.number("KeyTtl") : 0,
                fields.positive("Objective"),
                fields.number("AimStretch", 0),
                fields.positive("Deadline"),
                fields.number("Worth", 1),
                fields.number("LateWorth", 0),
                fields.flag("Streaming", false));
    }

    private static Tenant tenant(Fields fields) {
        return new Tenant(fields.text("Name"), fields.number("Share", 0), fields.number("AllowancePerS", 0));
    }

    private static Limits limits(Fields fields) {
        return new Limits(
                (int) fields.positive("SendCap"),
                fields.flag("SecondCopies"),
                fields.flag("Cancelling"),
                fields.flag("MayProbe"),
                fields.flag("Peers"),
                fields.flag("RetryAfter", false),
                fields.number("MaxRetryAfter", 0),
                fields.number("ConnectTimeout", 0),
                fields.number("IdleClose", 0),
                (int) fields.number("Multiplex", 1));
    }

    private static Safety safety(Fields fields) {
        return new Safety(
                fields.number("AskWithin", 10_000),
                fields.number("Cold"),
                fields.number("ColdShare"),
                fields.number("FallMultiple"),
                fields.number("TipAfter"),
                fields.flag("SoftRemoval", false),
                fields.flag("FullMayHaveRun", false));
    }

    private static Prices prices(Fields fields) {
        return new Prices(fields.number("CrossZone", 0), fields.number("Handshake", 0));
    }

    private static Goal goal(Fields fields) {
        double tail = fields.number("Tail", 0);
        double missAllowed = tail > 0 ? fields.number("MissAllowed", 0) : 0; // has no effect without a tail weight
        return new Goal(
                fields.number("Whole", 1) + fields.number("WorstWindow", 0),
                fields.number("WorstClass", 0),
                tail,
                Math.max(0, Math.min(1, missAllowed)));
    }
}
