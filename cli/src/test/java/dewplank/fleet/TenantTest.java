package dewplank.fleet;

import static dewplank.fleet.FleetHarness.INITIAL;
import static dewplank.fleet.FleetHarness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.ClientAttempt;
import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetBounds;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.emulator.fleet.SteadyLoad;
import dewplank.emulator.fleet.TenantSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests access keys, revocations and quotas of tenants with a fleet of processes. */
class TenantTest {
    private static final int CONTROL_PLANES = 3;
    private static final int DATA_PLANES = 3;
    private static final int MS_PER_S = 1_000;

    private static final int RATE_PER_S = 10;
    private static final int BURST = 10;
    private static final TenantSpec ACME = TenantSpec.unlimited("acme", "k-acme");
    private static final TenantSpec BIRCH = TenantSpec.unlimited("birch", "k-birch");
    private static final RouteSpec OPEN =
            RouteSpec.to("plain", "open", RouteSpec.Kind.SAFE).withPublicAccess();

    private static final FleetConfiguration WITH_TENANTS =
            INITIAL.with(INITIAL.version() + 1, OPEN).withTenants(INITIAL.version() + 1, ACME, BIRCH);

    private static final ClientRequest WITHOUT_KEY = ClientRequest.plain(READ, "no-key");
    private static final ClientRequest OF_ACME =
            ClientRequest.plain(READ, "acme").withAccessKey("k-acme");
    private static final ClientRequest OF_BIRCH =
            ClientRequest.plain(READ, "birch").withAccessKey("k-birch");
    private static final ClientRequest PUBLIC = ClientRequest.plain(OPEN, "public");

    private static void putTenants(FleetHarness harness, FleetConfiguration next) throws Exception {
        harness.putConfiguration(next, INITIAL.version(), 0);
        awaitStatusEverywhere(harness, WITHOUT_KEY, 401);
    }

    private static void awaitStatusEverywhere(FleetHarness harness, ClientRequest request, int status)
            throws InterruptedException, TimeoutException {
        for (int edge = 0; edge < DATA_PLANES; edge++) {
            int at = edge;
            harness.awaitState(
                    status + " for " + request.target() + " at edge " + edge,
                    () -> harness.awaitOutcome(at, request).status() == status);
        }
    }

    private static void assertServedEverywhere(FleetHarness harness, ClientRequest request) {
        for (int edge = 0; edge < DATA_PLANES; edge++) {
            harness.assertServed(edge, request);
        }
    }

    // ---- access keys ------------------------------------------------------------------------------------------

    @Test
    void aKeyIsAcceptedEverywhereUnderItsTenantsNameUntilItIsRevoked() throws Exception {
        FleetHarness.run(CONTROL_PLANES, DATA_PLANES, harness -> {
            putTenants(harness, WITH_TENANTS);
            for (int edge = 0; edge < DATA_PLANES; edge++) {
                ClientAttempt attempt = harness.send(edge, OF_ACME);
                assertTrue(Futures.await(attempt.ended()).served());
                Arrived arrived = harness.await("the request at a server", Arrived.class, event -> event.attemptId()
                        .equals(attempt.id()));
                assertEquals(Optional.of(ACME.name()), arrived.tenant());
            }
            FleetConfiguration next = WITH_TENANTS.withTenants(WITH_TENANTS.version() + 1, ACME.withoutKeys(), BIRCH);
            assertEquals(200, Futures.await(harness.operator().patch(next, WITH_TENANTS, 1)));
            awaitStatusEverywhere(harness, OF_ACME, 401);
            assertServedEverywhere(harness, OF_BIRCH);
            assertServedEverywhere(harness, PUBLIC);
        });
    }

    /** A data plane without a connection to a control plane receives no revocations of keys. */
    @Test
    void keysAreRejectedWithinTheTimeLimitAfterAllControlPlanesArePaused() throws Exception {
        FleetHarness.run(CONTROL_PLANES, DATA_PLANES, harness -> {
            putTenants(harness, WITH_TENANTS);
            assertServedEverywhere(harness, OF_ACME);
            for (FleetProcess process : harness.control()) {
                process.pause();
            }
            double pausedAtMs = harness.now();
            SteadyLoad publicLoad = harness.fleet.load(List.of(PUBLIC));
            awaitStatusEverywhere(harness, OF_ACME, 503);
            harness.await(
                    "an attempt after the time limit",
                    AttemptEnded.class,
                    ended -> ended.atMs() > pausedAtMs + FleetBounds.REVOKE_MS);
            awaitStatusEverywhere(harness, OF_ACME, 503);
            publicLoad.stop();
            assertEquals(0, publicLoad.notServed(), "public routes need no control plane");
            double resumedAtMs = harness.now();
            for (FleetProcess process : harness.control()) {
                process.resume();
            }
            awaitStatusEverywhere(harness, OF_ACME, 200);
            Set<String> acmeAttemptIds = attemptIdsOf(harness, OF_ACME);
            assertEquals(
                    List.of(),
                    harness.events(RunStarted.class).stream()
                            .filter(run -> acmeAttemptIds.contains(run.attemptId()))
                            .filter(run -> run.atMs() > pausedAtMs + FleetBounds.REVOKE_MS && run.atMs() < resumedAtMs)
                            .toList());
        });
    }

    private static Set<String> attemptIdsOf(FleetHarness harness, ClientRequest request) {
        return harness.events(AttemptSent.class).stream()
                .filter(sent -> sent.request().equals(request))
                .map(AttemptSent::attemptId)
                .collect(Collectors.toSet());
    }

    // ---- quotas ----------------------------------------------------------------------------------------

    @Test
    void aFleetWideLimitHoldsWhileTheControlPlaneThatAssignsSharesIsKilled() throws Exception {
        FleetHarness.run(CONTROL_PLANES, DATA_PLANES, harness -> {
            putTenants(
                    harness,
                    WITH_TENANTS.withTenants(WITH_TENANTS.version(), ACME.withLimit(RATE_PER_S, BURST), BIRCH));
            awaitStatusEverywhere(harness, OF_ACME, 200);
            SteadyLoad load = harness.fleet.load(List.of(OF_ACME));
            awaitAttemptsFor(harness, FleetBounds.QUOTA_WINDOW_S);
            assertServedEverywhere(harness, OF_BIRCH);
            harness.awaitLeaseHolder().kill();
            assertServedEverywhere(harness, OF_BIRCH);
            awaitAttemptsFor(harness, 2 * FleetBounds.QUOTA_WINDOW_S);
            int servedBefore = load.served();
            harness.await("the limited tenant is served", AttemptEnded.class, ended -> load.served() > servedBefore);
            load.stop();
            assertTrue(load.notServed() > load.served(), "the load did not exceed the limit");
            assertLimitHolds(harness);
        });
    }

    private static void awaitAttemptsFor(FleetHarness harness, int seconds) throws Exception {
        double untilMs = harness.now() + seconds * MS_PER_S;
        harness.await(
                "an attempt that ends after " + seconds + " s", AttemptEnded.class, ended -> ended.atMs() > untilMs);
    }

    /** The times at which a request was sent and started to run. */
    private record Run(double sentAtMs, double startedAtMs) {}

    /** Checks the rule QUOTA, which limits the requests that are sent and start to run within each window. */
    private static void assertLimitHolds(FleetHarness harness) {
        double windowMs = FleetBounds.QUOTA_WINDOW_S * MS_PER_S;
        double bound = (RATE_PER_S * FleetBounds.QUOTA_WINDOW_S + BURST) * (1 + FleetBounds.QUOTA_OVERSHOOT)
                + FleetBounds.QUOTA_SLACK;
        List<Run> runs = runsOfLimitedTenant(harness);
        for (Run first : runs) {
            double endMs = first.sentAtMs() + windowMs;
            long count = runs.stream()
                    .filter(run -> run.sentAtMs() >= first.sentAtMs() && run.startedAtMs() <= endMs)
                    .count();
            assertTrue(count <= bound, count + " runs in the window from " + first.sentAtMs() + ", bound " + bound);
        }
    }

    /** Returns each request once, with the time of its first run. */
    private static List<Run> runsOfLimitedTenant(FleetHarness harness) {
        Map<String, Double> startedAtMs = new HashMap<>();
        harness.events(RunStarted.class).forEach(run -> startedAtMs.merge(run.attemptId(), run.atMs(), Math::min));
        List<Run> runs = new ArrayList<>();
        for (AttemptSent sent : harness.events(AttemptSent.class)) {
            if (sent.request().equals(OF_ACME) && startedAtMs.containsKey(sent.attemptId())) {
                runs.add(new Run(sent.atMs(), startedAtMs.get(sent.attemptId())));
            }
        }
        return runs;
    }
}
