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
import dewplank.quota.QuotaTerms;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How tokens are asked for by two sessions with stand-ins for control planes, over TCP and by the test's clock. */
class QuotaClientTest {
    private static final double CONTACT_MS = 120_000;
    private static final double REPLY_TIMEOUT_MS = 200;
    /** Longer than the window of the load by which tokens are asked for, shorter than the time-out of a reply. */
    private static final double BEYOND_LOAD_WINDOW_MS = 130;

    private static final double TOKEN_LIFETIME_MS = SessionFixture.QUOTA_TERMS.tokenLifetimeMs();
    /** Requests that may wait at once. */
    private static final int MAX_WAITING = 1_024;

    private static final Tenant ACME = new Tenant("acme", List.of(), OptionalInt.empty(), 10, 5);
    private static final Tenant BIRCH = new Tenant("birch", List.of(), OptionalInt.empty(), 10, 5);
    private static final Tenant UNLIMITED = new Tenant("cedar", List.of(), OptionalInt.empty(), 0, 0);

    private static final Decision ADMITTED = new Decision.Admitted();
    private static final Decision UNAVAILABLE = new Decision.Unavailable();

    private SessionFixture net;
    private List<Session> sessions;
    private final List<Decision> decisions = new CopyOnWriteArrayList<>();

    /** A request for tokens, and the session by which it came. */
    private record Question(Session session, QuotaRequest request) {
        private void grant(int tokens) throws IOException {
            session.send(QuotaReply.granted(request.id, tokens));
        }

        private void exhaust(double retryAfterMs) throws IOException {
            session.send(QuotaReply.exhausted(request.id, retryAfterMs));
        }

        private void cannotTell() throws IOException {
            session.send(QuotaReply.unavailable(request.id));
        }
    }

    @BeforeEach
    void begin() throws Exception {
        net = new SessionFixture(CONTACT_MS);
        FakeControlPlane first = net.controlPlane();
        FakeControlPlane second = net.controlPlane();
        net.start(first, second);
        net.awaitOpenSessions(2);
        sessions = List.of(first.session(), second.session());
    }

    @AfterEach
    void end() throws IOException {
        net.close();
    }

    private void acquire(Tenant tenant, int count) throws Exception {
        OnLoop.run(net.loop, () -> {
            for (int i = 0; i < count; i++) {
                net.quotas.acquire(tenant, decisions::add);
            }
        });
    }

    private boolean isAsked() {
        return sessions.stream().anyMatch(Session::hasQuotaRequest);
    }

    private Question nextQuestion() throws Exception {
        net.await(this::isAsked);
        Session asked =
                sessions.stream().filter(Session::hasQuotaRequest).findFirst().orElseThrow();
        return new Question(asked, asked.takeQuotaRequest());
    }

    /** Handles all that was sent: so many decisions there are then, all of them this one. */
    private void assertDecided(Decision decision, int count) throws Exception {
        net.pass(0);
        assertEquals(Collections.nCopies(count, decision), decisions);
    }

    private void assertUndecided() throws Exception {
        assertDecided(ADMITTED, 0);
    }

    private void assertNotAsked() throws Exception {
        net.pass(0);
        assertFalse(isAsked(), "a control plane was asked");
    }

    // ---- tokens ----------------------------------------------------------------------------------------

    @Test
    void aTenantWithoutALimitNeedsNoToken() throws Exception {
        acquire(UNLIMITED, 1);
        assertDecided(ADMITTED, 1);
        assertNotAsked();
    }

    @Test
    void aRequestWaitsForItsToken() throws Exception {
        acquire(ACME, 1);
        Question question = nextQuestion();
        assertEquals(ACME.name(), question.request().tenant);
        assertEquals(1, question.request().tokens);
        assertFalse(question.request().forwarded);
        assertUndecided();
        question.grant(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void requestsOfOneTenantWaitForOneReplyAtATime() throws Exception {
        acquire(ACME, 1);
        Question first = nextQuestion();
        net.pass(BEYOND_LOAD_WINDOW_MS);
        acquire(ACME, 3);
        assertNotAsked();
        first.grant(1);
        assertDecided(ADMITTED, 1);
        Question second = nextQuestion();
        assertEquals(3, second.request().tokens, "as many as wait");
        assertNotAsked();
        second.grant(3);
        assertDecided(ADMITTED, 4);
        assertNotAsked();
    }

    @Test
    void theRestIsAskedForAfterFewerTokensThanWait() throws Exception {
        acquire(ACME, 4);
        nextQuestion().grant(1);
        nextQuestion().grant(2);
        assertDecided(ADMITTED, 3);
        nextQuestion().grant(1);
        assertDecided(ADMITTED, 4);
    }

    @Test
    void tenantsDoNotWaitForEachOther() throws Exception {
        acquire(ACME, 1);
        Question ofAcme = nextQuestion();
        acquire(BIRCH, 1);
        Question ofBirch = nextQuestion();
        assertEquals(BIRCH.name(), ofBirch.request().tenant);
        assertNotEquals(ofAcme.request().id, ofBirch.request().id);
        ofBirch.grant(1);
        assertDecided(ADMITTED, 1);
        ofAcme.grant(1);
        assertDecided(ADMITTED, 2);
    }

    /** Three requests came lately, so three tokens are asked for where two wait. */
    @Test
    void tokensThatAreLeftServeRequestsUntilTheyLapse() throws Exception {
        acquire(ACME, 3);
        nextQuestion().grant(1);
        double askedAt = net.now();
        Question second = nextQuestion();
        assertEquals(3, second.request().tokens);
        second.grant(3);
        assertDecided(ADMITTED, 3);
        net.pass(askedAt + TOKEN_LIFETIME_MS - 1 - net.now());
        acquire(ACME, 1);
        assertDecided(ADMITTED, 4);
        assertNotAsked();
    }

    @Test
    void tokensLapseALifetimeAfterTheyWereAskedFor() throws Exception {
        acquire(ACME, 3);
        nextQuestion().grant(1);
        double askedAt = net.now();
        nextQuestion().grant(3);
        net.pass(askedAt + TOKEN_LIFETIME_MS - net.now());
        acquire(ACME, 1);
        nextQuestion();
        assertDecided(ADMITTED, 3);
    }

    /** A token that was granted after its request came may be used whatever the overshoot. */
    @Test
    void aTokenServesARequestThatWaitedForItWhereTheTermsAllowNoOvershoot() throws Exception {
        QuotaClient exact = net.serveQuotas(new QuotaTerms(10_000, 0, 0));
        OnLoop.run(net.loop, () -> exact.acquire(ACME, decisions::add));
        nextQuestion().grant(1);
        assertDecided(ADMITTED, 1);
        assertNotAsked();
    }

    // ---- exhaustion ------------------------------------------------------------------------------------

    @Test
    void anExhaustedQuotaDecidesAllThatWait() throws Exception {
        acquire(ACME, 3);
        nextQuestion().exhaust(300);
        assertDecided(new Decision.Exhausted(300), 3);
        assertNotAsked();
    }

    @Test
    void anExhaustedQuotaDecidesLaterRequestsAtOnceUntilTheTimeNamed() throws Exception {
        acquire(ACME, 1);
        nextQuestion().exhaust(300);
        net.pass(100);
        decisions.clear();
        acquire(ACME, 1);
        assertDecided(new Decision.Exhausted(200), 1);
        assertNotAsked();
        net.pass(200);
        acquire(ACME, 1);
        nextQuestion().grant(1);
        net.pass(0);
        assertEquals(List.of(new Decision.Exhausted(200), ADMITTED), decisions);
    }

    @Test
    void anExhaustedQuotaIsThatOfItsTenantAlone() throws Exception {
        acquire(ACME, 1);
        nextQuestion().exhaust(300);
        net.pass(0);
        decisions.clear();
        acquire(BIRCH, 1);
        nextQuestion().grant(1);
        assertDecided(ADMITTED, 1);
    }

    // ---- control planes that do not reply ------------------------------------------------------------------

    @Test
    void theOtherControlPlaneIsAskedWhenOneDoesNotReplyInTime() throws Exception {
        acquire(ACME, 1);
        Question first = nextQuestion();
        net.pass(REPLY_TIMEOUT_MS);
        Question second = nextQuestion();
        assertNotSame(first.session(), second.session());
        assertUndecided();
        second.grant(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void nobodyCanTellWhenBothDoNotReplyInTime() throws Exception {
        acquire(ACME, 2);
        nextQuestion();
        net.pass(REPLY_TIMEOUT_MS);
        nextQuestion();
        assertUndecided();
        net.pass(REPLY_TIMEOUT_MS);
        assertDecided(UNAVAILABLE, 2);
        assertNotAsked();
    }

    @Test
    void aLateReplyChangesNothing() throws Exception {
        acquire(ACME, 1);
        Question first = nextQuestion();
        net.pass(REPLY_TIMEOUT_MS);
        Question second = nextQuestion();
        first.grant(1);
        assertUndecided();
        second.exhaust(300);
        assertDecided(new Decision.Exhausted(300), 1);
        first.grant(1);
        second.grant(1);
        acquire(ACME, 1);
        assertDecided(new Decision.Exhausted(300), 2);
    }

    @Test
    void theOtherControlPlaneIsAskedAtOnceWhenASessionEnds() throws Exception {
        acquire(ACME, 1);
        Question first = nextQuestion();
        double before = net.now();
        first.session().reset();
        Question second = nextQuestion();
        assertEquals(before, net.now());
        assertNotSame(first.session(), second.session());
        second.grant(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void nobodyCanTellWhenBothSessionsEnd() throws Exception {
        acquire(ACME, 1);
        nextQuestion().session().reset();
        nextQuestion().session().reset();
        net.await(() -> !decisions.isEmpty());
        assertEquals(List.of(UNAVAILABLE), decisions);
    }

    @Test
    void aSessionThatEndsWithoutAQuestionDecidesNothing() throws Exception {
        acquire(ACME, 1);
        Question question = nextQuestion();
        List<Session> others = new ArrayList<>(sessions);
        others.remove(question.session());
        others.get(0).reset();
        others.get(0).awaitEnd();
        assertUndecided();
        question.grant(1);
        assertDecided(ADMITTED, 1);
    }

    @Test
    void theOtherControlPlaneIsAskedWhenOneCannotTell() throws Exception {
        acquire(ACME, 1);
        Question first = nextQuestion();
        first.cannotTell();
        Question second = nextQuestion();
        assertNotSame(first.session(), second.session());
        assertUndecided();
        second.cannotTell();
        assertDecided(UNAVAILABLE, 1);
        assertNotAsked();
    }

    @Test
    void nobodyCanTellWithoutASession() throws Exception {
        try (SessionFixture alone = new SessionFixture(CONTACT_MS)) {
            OnLoop.run(alone.loop, () -> alone.quotas.acquire(ACME, decisions::add));
        }
        assertEquals(List.of(UNAVAILABLE), decisions);
    }

    @Test
    void aTenantIsAskedForAgainAfterNobodyCouldTell() throws Exception {
        acquire(ACME, 1);
        nextQuestion().cannotTell();
        nextQuestion().cannotTell();
        assertDecided(UNAVAILABLE, 1);
        decisions.clear();
        acquire(ACME, 1);
        nextQuestion().grant(1);
        assertDecided(ADMITTED, 1);
    }

    // ---- many requests ----------------------------------------------------------------------------------

    @Test
    void aBoundedNumberOfRequestsWaits() throws Exception {
        acquire(ACME, MAX_WAITING - 1);
        acquire(BIRCH, 2);
        assertDecided(UNAVAILABLE, 1);
    }

    @Test
    void requestsMayWaitAgainOnceOthersAreDecided() throws Exception {
        acquire(ACME, MAX_WAITING);
        nextQuestion().exhaust(300);
        assertDecided(new Decision.Exhausted(300), MAX_WAITING);
        acquire(BIRCH, MAX_WAITING);
        assertDecided(new Decision.Exhausted(300), MAX_WAITING);
    }
}
