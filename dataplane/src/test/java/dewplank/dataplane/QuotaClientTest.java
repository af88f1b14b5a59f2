package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import dewplank.configuration.Tenant;
import dewplank.dataplane.FakeControlPlane.Session;
import dewplank.dataplane.QuotaClient.Decision;
import dewplank.exchange.OnLoop;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import dewplank.quota.QuotaBounds;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Quota requests over two sessions with fake control planes, over TCP and with the test's clock. */
class QuotaClientTest {
    private static final double CONTACT_MS = 120_000;
    private static final double REPLY_TIMEOUT_MS = 200;
    /** Longer than the window in which requests are counted for a quota request, shorter than the reply timeout. */
    private static final double BEYOND_LOAD_WINDOW_MS = 130;

    private static final double TOKEN_LIFETIME_MS = SessionFixture.QUOTA_BOUNDS.tokenLifetimeMs();
    /** Maximum number of waiting requests. */
    private static final int MAX_WAITING = 1_024;

    private static final Tenant ACME = new Tenant("acme", List.of(), OptionalInt.empty(), 10, 5);
    private static final Tenant BIRCH = new Tenant("birch", List.of(), OptionalInt.empty(), 10, 5);
    private static final Tenant UNLIMITED = new Tenant("cedar", List.of(), OptionalInt.empty(), 0, 0);

    private static final Decision ADMITTED = new Decision.Admitted();
    private static final Decision UNAVAILABLE = new Decision.Unavailable();

    private SessionFixture fixture;
    private List<Session> sessions;
    private final List<Decision> decisions = new CopyOnWriteArrayList<>();

    /** A quota request and the session over which it was received. */
    private record ReceivedRequest(Session session, QuotaRequest message) {
        private void replyGranted(int tokens) throws IOException {
            session.send(QuotaReply.granted(message.id, tokens));
        }

        private void replyExhausted(double retryAfterMs) throws IOException {
            session.send(QuotaReply.exhausted(message.id, retryAfterMs));
        }

        private void replyUnavailable() throws IOException {
            session.send(QuotaReply.unavailable(message.id));
        }
    }

    @BeforeEach
    void setUp() throws Exception {
        fixture = new SessionFixture(CONTACT_MS);
        FakeControlPlane first = fixture.controlPlane();
        FakeControlPlane second = fixture.controlPlane();
        fixture.start(first, second);
        fixture.awaitOpenSessions(2);
        sessions = List.of(first.session(), second.session());
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private void acquire(Tenant tenant, int count) throws Exception {
        OnLoop.run(fixture.loop, () -> {
            for (int i = 0; i < count; i++) {
                fixture.quotas.acquire(tenant, decisions::add);
            }
        });
    }

    private boolean hasRequest() {
        return sessions.stream().anyMatch(Session::hasQuotaRequest);
    }

    private ReceivedRequest nextRequest() throws Exception {
        fixture.await(this::hasRequest);
        Session receiver =
                sessions.stream().filter(Session::hasQuotaRequest).findFirst().orElseThrow();
        return new ReceivedRequest(receiver, receiver.takeQuotaRequest());
    }

    /** Checks that, once all sent messages are handled, there are {@code count} decisions, all equal to this one. */
    private void assertDecided(Decision decision, int count) throws Exception {
        fixture.advanceClock(0);
        assertEquals(Collections.nCopies(count, decision), decisions);
    }

    private void assertUndecided() throws Exception {
        assertDecided(ADMITTED, 0);
    }

    private void assertNoRequest() throws Exception {
        fixture.advanceClock(0);
        assertFalse(hasRequest(), "a control plane received a quota request");
    }

    // ---- tokens ----------------------------------------------------------------------------------------

    @Test
    void aTenantWithoutALimitNeedsNoToken() throws Exception {
        acquire(UNLIMITED, 1);
        assertDecided(ADMITTED, 1);
        assertNoRequest();
    }

    @Test
    void aRequestWaitsForItsToken() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest request = nextRequest();
        assertEquals(ACME.name(), request.message().tenant);
        assertEquals(1, request.message().tokens);
        assertFalse(request.message().forwarded);
        assertUndecided();
        request.replyGranted(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void requestsOfOneTenantShareOnePendingQuotaRequest() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest first = nextRequest();
        fixture.advanceClock(BEYOND_LOAD_WINDOW_MS);
        acquire(ACME, 3);
        assertNoRequest();
        first.replyGranted(1);
        assertDecided(ADMITTED, 1);
        ReceivedRequest second = nextRequest();
        assertEquals(3, second.message().tokens, "one for each waiting request");
        assertNoRequest();
        second.replyGranted(3);
        assertDecided(ADMITTED, 4);
        assertNoRequest();
    }

    @Test
    void missingTokensAreRequestedAfterAPartialGrant() throws Exception {
        acquire(ACME, 4);
        nextRequest().replyGranted(1);
        nextRequest().replyGranted(2);
        assertDecided(ADMITTED, 3);
        nextRequest().replyGranted(1);
        assertDecided(ADMITTED, 4);
    }

    @Test
    void tenantsDoNotWaitForEachOther() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest ofAcme = nextRequest();
        acquire(BIRCH, 1);
        ReceivedRequest ofBirch = nextRequest();
        assertEquals(BIRCH.name(), ofBirch.message().tenant);
        assertNotEquals(ofAcme.message().id, ofBirch.message().id);
        ofBirch.replyGranted(1);
        assertDecided(ADMITTED, 1);
        ofAcme.replyGranted(1);
        assertDecided(ADMITTED, 2);
    }

    /** Three requests arrived recently, so three tokens are requested although only two requests wait. */
    @Test
    void unusedTokensAdmitRequestsUntilTheyExpire() throws Exception {
        acquire(ACME, 3);
        nextRequest().replyGranted(1);
        double requestedAt = fixture.now();
        ReceivedRequest second = nextRequest();
        assertEquals(3, second.message().tokens);
        second.replyGranted(3);
        assertDecided(ADMITTED, 3);
        fixture.advanceClock(requestedAt + TOKEN_LIFETIME_MS - 1 - fixture.now());
        acquire(ACME, 1);
        assertDecided(ADMITTED, 4);
        assertNoRequest();
    }

    @Test
    void tokensExpireOneLifetimeAfterTheyWereRequested() throws Exception {
        acquire(ACME, 3);
        nextRequest().replyGranted(1);
        double requestedAt = fixture.now();
        nextRequest().replyGranted(3);
        fixture.advanceClock(requestedAt + TOKEN_LIFETIME_MS - fixture.now());
        acquire(ACME, 1);
        nextRequest();
        assertDecided(ADMITTED, 3);
    }

    /** A token that was granted after its request arrived may be used even without any overshoot. */
    @Test
    void aTokenAdmitsAWaitingRequestEvenIfNoOvershootIsAllowed() throws Exception {
        QuotaClient exact = fixture.replaceQuotaClient(new QuotaBounds(10_000, 0, 0));
        OnLoop.run(fixture.loop, () -> exact.acquire(ACME, decisions::add));
        nextRequest().replyGranted(1);
        assertDecided(ADMITTED, 1);
        assertNoRequest();
    }

    // ---- exhaustion ------------------------------------------------------------------------------------

    @Test
    void anExhaustedQuotaIsReportedToAllWaitingRequests() throws Exception {
        acquire(ACME, 3);
        nextRequest().replyExhausted(300);
        assertDecided(new Decision.Exhausted(300), 3);
        assertNoRequest();
    }

    @Test
    void anExhaustedQuotaIsReportedToLaterRequestsImmediatelyUntilTheRetryTime() throws Exception {
        acquire(ACME, 1);
        nextRequest().replyExhausted(300);
        fixture.advanceClock(100);
        decisions.clear();
        acquire(ACME, 1);
        assertDecided(new Decision.Exhausted(200), 1);
        assertNoRequest();
        fixture.advanceClock(200);
        acquire(ACME, 1);
        nextRequest().replyGranted(1);
        fixture.advanceClock(0);
        assertEquals(List.of(new Decision.Exhausted(200), ADMITTED), decisions);
    }

    @Test
    void anExhaustedQuotaDoesNotAffectOtherTenants() throws Exception {
        acquire(ACME, 1);
        nextRequest().replyExhausted(300);
        fixture.advanceClock(0);
        decisions.clear();
        acquire(BIRCH, 1);
        nextRequest().replyGranted(1);
        assertDecided(ADMITTED, 1);
    }

    // ---- control planes that do not reply ------------------------------------------------------------------

    @Test
    void theRequestIsSentToTheOtherControlPlaneAfterAReplyTimeout() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest first = nextRequest();
        fixture.advanceClock(REPLY_TIMEOUT_MS);
        ReceivedRequest second = nextRequest();
        assertNotSame(first.session(), second.session());
        assertUndecided();
        second.replyGranted(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void theQuotaIsUnavailableAfterTwoReplyTimeouts() throws Exception {
        acquire(ACME, 2);
        nextRequest();
        fixture.advanceClock(REPLY_TIMEOUT_MS);
        nextRequest();
        assertUndecided();
        fixture.advanceClock(REPLY_TIMEOUT_MS);
        assertDecided(UNAVAILABLE, 2);
        assertNoRequest();
    }

    @Test
    void aLateReplyIsIgnored() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest first = nextRequest();
        fixture.advanceClock(REPLY_TIMEOUT_MS);
        ReceivedRequest second = nextRequest();
        first.replyGranted(1);
        assertUndecided();
        second.replyExhausted(300);
        assertDecided(new Decision.Exhausted(300), 1);
        first.replyGranted(1);
        second.replyGranted(1);
        acquire(ACME, 1);
        assertDecided(new Decision.Exhausted(300), 2);
    }

    @Test
    void theRequestIsSentToTheOtherControlPlaneImmediatelyAfterItsSessionCloses() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest first = nextRequest();
        double before = fixture.now();
        first.session().reset();
        ReceivedRequest second = nextRequest();
        assertEquals(before, fixture.now());
        assertNotSame(first.session(), second.session());
        second.replyGranted(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void theQuotaIsUnavailableAfterBothSessionsClose() throws Exception {
        acquire(ACME, 1);
        nextRequest().session().reset();
        nextRequest().session().reset();
        fixture.await(() -> !decisions.isEmpty());
        assertEquals(List.of(UNAVAILABLE), decisions);
    }

    @Test
    void theCloseOfASessionWithoutAPendingRequestHasNoEffect() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest request = nextRequest();
        List<Session> others = new ArrayList<>(sessions);
        others.remove(request.session());
        others.get(0).reset();
        others.get(0).awaitClose();
        assertUndecided();
        request.replyGranted(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void theRequestIsSentToTheOtherControlPlaneAfterAnUnavailableReply() throws Exception {
        acquire(ACME, 1);
        ReceivedRequest first = nextRequest();
        first.replyUnavailable();
        ReceivedRequest second = nextRequest();
        assertNotSame(first.session(), second.session());
        assertUndecided();
        second.replyUnavailable();
        assertDecided(UNAVAILABLE, 1);
        assertNoRequest();
    }

    @Test
    void theQuotaIsUnavailableWithoutASession() throws Exception {
        try (SessionFixture alone = new SessionFixture(CONTACT_MS)) {
            OnLoop.run(alone.loop, () -> alone.quotas.acquire(ACME, decisions::add));
        }
        assertEquals(List.of(UNAVAILABLE), decisions);
    }

    @Test
    void tokensAreRequestedAgainAfterTheQuotaWasUnavailable() throws Exception {
        acquire(ACME, 1);
        nextRequest().replyUnavailable();
        nextRequest().replyUnavailable();
        assertDecided(UNAVAILABLE, 1);
        decisions.clear();
        acquire(ACME, 1);
        nextRequest().replyGranted(1);
        assertDecided(ADMITTED, 1);
    }

    // ---- many requests ----------------------------------------------------------------------------------

    @Test
    void theNumberOfWaitingRequestsIsLimited() throws Exception {
        acquire(ACME, MAX_WAITING - 1);
        acquire(BIRCH, 2);
        assertDecided(UNAVAILABLE, 1);
    }

    @Test
    void requestsMayWaitAgainAfterOthersAreDecided() throws Exception {
        acquire(ACME, MAX_WAITING);
        nextRequest().replyExhausted(300);
        assertDecided(new Decision.Exhausted(300), MAX_WAITING);
        acquire(BIRCH, MAX_WAITING);
        assertDecided(new Decision.Exhausted(300), MAX_WAITING);
    }
}
