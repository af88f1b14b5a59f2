package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;

/** The module's settings in the form that a sidecar's configuration has them. */
final class SidecarFile {
    private SidecarFile() {}

    static JsonObject settings(Settings s) {
        JsonObject o = new JsonObject();
        JsonArray accounts = new JsonArray();
        s.tenants().forEach(t -> {
            JsonObject account = new JsonObject();
            account.addProperty("Name", t.name());
            account.addProperty("Share", t.share());
            account.addProperty("AllowancePerS", t.allowancePerSecond());
            accounts.add(account);
        });
        o.add("Accounts", accounts);
        JsonObject family = new JsonObject();
        family.addProperty("WarmKeys", s.serversCacheKeys());
        o.add("FamilyInfo", family);
        o.addProperty("Az", s.zone());
        o.addProperty("CountedBy", s.valueIsPerWork() ? "work" : "request");
        o.addProperty("Me", s.replicaIndex());
        o.addProperty("ReplicasOfMe", s.replicaCount());
        o.addProperty("RegistryMode", s.endpointListIsPushed() ? "pushed" : "on_request");
        o.addProperty("Tick", s.tickMs());
        o.addProperty("Weights", s.serversAreRated() ? "nominal" : "none");
        o.addProperty("OverShareWorth", s.overShareValueFactor());
        JsonArray classes = new JsonArray();
        s.classes().forEach(c -> classes.add(requestClass(c)));
        o.add("Classes", classes);
        JsonObject feedback = new JsonObject();
        JsonArray names = new JsonArray();
        s.loadReportFields().forEach(names::add);
        feedback.add("Names", names);
        feedback.addProperty("Via", "answers");
        o.add("Feedback", feedback);
        o.add("Limits", limits(s.limits()));
        o.add("Safety", safety(s.safety()));
        JsonObject prices = new JsonObject();
        prices.addProperty("CrossZone", s.prices().crossZone());
        prices.addProperty("Handshake", s.prices().handshake());
        o.add("Tariffs", prices);
        JsonObject goal = new JsonObject();
        goal.addProperty("Whole", s.goal().all());
        goal.addProperty("WorstClass", s.goal().worstClass());
        o.add("Goal", goal);
        return o;
    }

    private static JsonObject requestClass(RequestClass c) {
        JsonObject o = new JsonObject();
        o.addProperty("Name", c.name());
        o.addProperty(
                "Idempotency",
                switch (c.idempotency()) {
                    case SAFE -> "read_like";
                    case KEYED -> "idempotency_key";
                    case UNSAFE -> "non_idempotent";
                });
        o.addProperty("KeyScope", c.deduplicationScope().name().toLowerCase(java.util.Locale.ROOT));
        o.addProperty("KeyTtl", c.deduplicationWindowMs());
        o.addProperty("Objective", c.latencyTargetMs());
        o.addProperty("Deadline", c.deadlineMs());
        o.addProperty("Worth", c.value());
        return o;
    }

    private static JsonObject limits(Limits l) {
        JsonObject o = new JsonObject();
        o.addProperty("SendCap", l.maxAttempts());
        o.addProperty("SecondCopies", l.allowsHedging());
        o.addProperty("Cancelling", l.allowsCancellation());
        o.addProperty("MayProbe", l.allowsHealthChecks());
        o.addProperty("Peers", l.exchangesPeerSummaries());
        o.addProperty("RetryAfter", l.allowsRetryAdvice());
        o.addProperty("MaxRetryAfter", l.maxRetryAdviceMs());
        o.addProperty("ConnectTimeout", l.connectTimeoutMs());
        o.addProperty("IdleClose", l.idleTimeoutMs());
        o.addProperty("Multiplex", l.maxStreamsPerConnection());
        return o;
    }

    private static JsonObject safety(Safety s) {
        JsonObject o = new JsonObject();
        o.addProperty("AskWithin", s.maxSubscribeDelayMs());
        o.addProperty("Cold", s.slowStartMs());
        o.addProperty("ColdShare", s.slowStartInitialShare());
        o.addProperty("FallMultiple", s.slowStartOverloadFactor());
        o.addProperty("TipAfter", s.slowStartOverloadMs());
        return o;
    }
}
