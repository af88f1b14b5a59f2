package dewplank.emulator.loopback;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;

/** Converts a balancer's settings to the format of a sidecar's configuration file. */
final class SidecarFile {
    private SidecarFile() {}

    static JsonObject settings(Settings settings) {
        JsonObject json = new JsonObject();
        json.add("Accounts", accounts(settings));
        JsonObject family = new JsonObject();
        family.addProperty("WarmKeys", settings.serversCacheKeys());
        json.add("FamilyInfo", family);
        json.addProperty("Az", settings.zone());
        json.addProperty("CountedBy", settings.valueIsPerWork() ? "work" : "request");
        json.addProperty("Me", settings.replicaIndex());
        json.addProperty("ReplicasOfMe", settings.replicaCount());
        json.addProperty("RegistryMode", settings.endpointListIsPushed() ? "pushed" : "on_request");
        json.addProperty("Tick", settings.tickMs());
        json.addProperty("Weights", settings.serversAreRated() ? "nominal" : "none");
        json.addProperty("OverShareWorth", settings.overShareValueFactor());
        JsonArray classes = new JsonArray();
        settings.classes().forEach(requestClass -> classes.add(requestClass(requestClass)));
        json.add("Classes", classes);
        JsonObject feedback = new JsonObject();
        JsonArray names = new JsonArray();
        settings.loadReportFields().forEach(names::add);
        feedback.add("Names", names);
        feedback.addProperty("Via", "answers");
        json.add("Feedback", feedback);
        json.add("Limits", limits(settings.limits()));
        json.add("Safety", safety(settings.safety()));
        JsonObject prices = new JsonObject();
        prices.addProperty("CrossZone", settings.prices().crossZone());
        prices.addProperty("Handshake", settings.prices().handshake());
        json.add("Tariffs", prices);
        JsonObject goal = new JsonObject();
        goal.addProperty("Whole", settings.goal().all());
        goal.addProperty("WorstClass", settings.goal().worstClass());
        json.add("Goal", goal);
        return json;
    }

    private static JsonArray accounts(Settings settings) {
        JsonArray accounts = new JsonArray();
        settings.tenants().forEach(tenant -> {
            JsonObject account = new JsonObject();
            account.addProperty("Name", tenant.name());
            account.addProperty("Share", tenant.share());
            account.addProperty("AllowancePerS", tenant.allowancePerSecond());
            accounts.add(account);
        });
        return accounts;
    }

    private static JsonObject requestClass(RequestClass requestClass) {
        JsonObject json = new JsonObject();
        json.addProperty("Name", requestClass.name());
        json.addProperty(
                "Idempotency",
                switch (requestClass.idempotency()) {
                    case SAFE -> "read_like";
                    case KEYED -> "idempotency_key";
                    case UNSAFE -> "non_idempotent";
                });
        json.addProperty("KeyScope", requestClass.deduplicationScope().name().toLowerCase(java.util.Locale.ROOT));
        json.addProperty("KeyTtl", requestClass.deduplicationWindowMs());
        json.addProperty("Objective", requestClass.latencyTargetMs());
        json.addProperty("Deadline", requestClass.deadlineMs());
        json.addProperty("Worth", requestClass.value());
        return json;
    }

    private static JsonObject limits(Limits limits) {
        JsonObject json = new JsonObject();
        json.addProperty("SendCap", limits.maxAttempts());
        json.addProperty("SecondCopies", limits.allowsHedging());
        json.addProperty("Cancelling", limits.allowsCancellation());
        json.addProperty("MayProbe", limits.allowsHealthChecks());
        json.addProperty("Peers", limits.exchangesPeerSummaries());
        json.addProperty("RetryAfter", limits.allowsRetryAdvice());
        json.addProperty("MaxRetryAfter", limits.maxRetryAdviceMs());
        json.addProperty("ConnectTimeout", limits.connectTimeoutMs());
        json.addProperty("IdleClose", limits.idleTimeoutMs());
        json.addProperty("Multiplex", limits.maxStreamsPerConnection());
        return json;
    }

    private static JsonObject safety(Safety settings) {
        JsonObject json = new JsonObject();
        json.addProperty("AskWithin", settings.maxSubscribeDelayMs());
        json.addProperty("Cold", settings.slowStartMs());
        json.addProperty("ColdShare", settings.slowStartInitialShare());
        json.addProperty("FallMultiple", settings.slowStartOverloadFactor());
        json.addProperty("TipAfter", settings.slowStartOverloadMs());
        return json;
    }
}
