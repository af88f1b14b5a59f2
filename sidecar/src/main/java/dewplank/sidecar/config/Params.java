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
 * The module's settings, read alike for the real sidecar and for the simulator. Unknown keys are skipped; a key
 * that is needed and missing is named.
 */
public final class Params {
    private Params() {}

    public static Settings settings(Fields p) {
        return new Settings(
                (int) p.number("Me"),
                (int) p.positive("ReplicasOfMe"),
                p.text("Az"),
                p.number("Tick"),
                p.choice("RegistryMode", Map.of("pushed", true, "on_request", false)),
                "work".equals(p.text("CountedBy")),
                !"none".equals(p.text("Weights")),
                p.part("FamilyInfo").flag("WarmKeys", false),
                p.number("OverShareWorth", 1),
                p.part("Feedback").texts("Names"),
                "probe".equals(p.part("Feedback").text("Via", "none")),
                p.list("Classes").stream().map(Params::requestClass).toList(),
                p.list("Accounts").stream().map(Params::tenant).toList(),
                limits(p.part("Limits")),
                safety(p.part("Safety")),
                prices(p.part("Tariffs")),
                goal(p.part("Goal")));
    }

    private static RequestClass requestClass(Fields p) {
        Idempotency effect = p.choice(
                "Idempotency",
                Map.of(
                        "read_like",
                        Idempotency.SAFE,
                        "idempotency_key",
                        Idempotency.KEYED,
                        "non_idempotent",
                        Idempotency.UNSAFE));
        boolean keyed = effect == Idempotency.KEYED;
        DeduplicationScope scope = keyed
                ? p.choice(
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
                p.text("Name"),
                effect,
                scope,
                keyed ? p.number("KeyTtl") : 0,
                p.positive("Objective"),
                p.number("AimStretch", 0),
                p.positive("Deadline"),
                p.number("Worth", 1),
                p.number("LateWorth", 0),
                p.flag("Streaming", false));
    }

    private static Tenant tenant(Fields p) {
        return new Tenant(p.text("Name"), p.number("Share", 0), p.number("AllowancePerS", 0));
    }

    private static Limits limits(Fields p) {
        return new Limits(
                (int) p.positive("SendCap"),
                p.flag("SecondCopies"),
                p.flag("Cancelling"),
                p.flag("MayProbe"),
                p.flag("Peers"),
                p.flag("RetryAfter", false),
                p.number("MaxRetryAfter", 0),
                p.number("ConnectTimeout", 0),
                p.number("IdleClose", 0),
                (int) p.number("Multiplex", 1));
    }

    private static Safety safety(Fields p) {
        return new Safety(
                p.number("AskWithin", 10_000),
                p.number("Cold"),
                p.number("ColdShare"),
                p.number("FallMultiple"),
                p.number("TipAfter"),
                p.flag("SoftRemoval", false),
                p.flag("FullMayHaveRun", false));
    }

    private static Prices prices(Fields p) {
        return new Prices(p.number("CrossZone", 0), p.number("Handshake", 0));
    }

    private static Goal goal(Fields p) {
        double tail = p.number("Tail", 0);
        double missAllowed = tail > 0 ? p.number("MissAllowed", 0) : 0; // without the part, its figure is idle
        return new Goal(
                p.number("Whole", 1) + p.number("WorstWindow", 0),
                p.number("WorstClass", 0),
                tail,
                Math.max(0, Math.min(1, missAllowed)));
    }
}
