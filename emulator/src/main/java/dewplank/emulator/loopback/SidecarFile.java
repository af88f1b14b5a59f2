package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.balancer.Balancer.Limits;
import dewplank.balancer.Balancer.RequestClass;
import dewplank.balancer.Balancer.Safety;
import dewplank.balancer.Balancer.Settings;

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
            account.addProperty("AllowancePerS", t.allowancePerS());
            accounts.add(account);
        });
        o.add("Accounts", accounts);
        JsonObject family = new JsonObject();
        family.addProperty("WarmKeys", s.warmKeys());
        o.add("FamilyInfo", family);
        o.addProperty("Az", s.zone());
        o.addProperty("CountedBy", s.worthByWork() ? "work" : "request");
        o.addProperty("Me", s.me());
        o.addProperty("ReplicasOfMe", s.replicas());
        o.addProperty("RegistryMode", s.listPushed() ? "pushed" : "on_request");
        o.addProperty("Tick", s.tickMs());
        o.addProperty("Weights", s.ratedServers() ? "nominal" : "none");
        o.addProperty("OverShareWorth", s.overShareWorth());
        JsonArray classes = new JsonArray();
        s.classes().forEach(c -> classes.add(requestClass(c)));
        o.add("Classes", classes);
        JsonObject feedback = new JsonObject();
        JsonArray names = new JsonArray();
        s.reportFields().forEach(names::add);
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
                switch (c.effect()) {
                    case SAFE -> "read_like";
                    case KEYED -> "idempotency_key";
                    case UNSAFE -> "non_idempotent";
                });
        o.addProperty("KeyScope", c.scope().name().toLowerCase(java.util.Locale.ROOT));
        o.addProperty("KeyTtl", c.memoryMs());
        o.addProperty("Objective", c.aimMs());
        o.addProperty("Deadline", c.deadlineMs());
        o.addProperty("Worth", c.worth());
        return o;
    }

    private static JsonObject limits(Limits l) {
        JsonObject o = new JsonObject();
        o.addProperty("SendCap", l.maxAttempts());
        o.addProperty("SecondCopies", l.secondCopies());
        o.addProperty("Cancelling", l.mayCancel());
        o.addProperty("MayProbe", l.mayProbe());
        o.addProperty("Peers", l.peers());
        o.addProperty("RetryAfter", l.retryAdvice());
        o.addProperty("MaxRetryAfter", l.maxRetryAdviceMs());
        o.addProperty("ConnectTimeout", l.connectTimeoutMs());
        o.addProperty("IdleClose", l.idleCloseMs());
        o.addProperty("Multiplex", l.streamsPerConnection());
        return o;
    }

    private static JsonObject safety(Safety s) {
        JsonObject o = new JsonObject();
        o.addProperty("AskWithin", s.askWithinMs());
        o.addProperty("Cold", s.coldMs());
        o.addProperty("ColdShare", s.coldShare());
        o.addProperty("FallMultiple", s.fallMultiple());
        o.addProperty("TipAfter", s.tipAfterMs());
        return o;
    }
}
