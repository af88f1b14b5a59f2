package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaReply.Outcome;
import dewplank.message.QuotaRequest;
import dewplank.quota.QuotaBounds;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how requests for tokens are granted from this process's share or forwarded to peers. */
class QuotaTokensTest {
    private static final String TENANT = "acme";
    private static final double RATE_PER_S = 10;
    private static final double BURST = 20;
    /** Share of all limits: the bucket is refilled with five tokens a second, up to ten. */
    private static final double FRACTION = 0.5;
    /** The time in which the bucket is refilled with one token. */
    private static final double TOKEN_INTERVAL_MS = 200;

    private static final double SHARE_ENDS_AT_MS = 1_000_000;
    /** Longer than the timeout of a peer's reply. */
    private static final double PEER_TIMEOUT_MS = 60;
    /** More concurrent requests than are forwarded to peers. */
    private static final int MANY_REQUESTS = 1_100;

    private static final QuotaBounds BOUNDS = new QuotaBounds(10_000, 0.05, 0);
    private static final long RANDOM_SEED = 5;

    /** A request that was sent to a peer. */
    private record SentRequest(String address, QuotaRequest request) {}

    /** Peers that record the requests that they receive; the test replies for them. */
    private static final class ScriptedPeers implements QuotaTokens.Peers {
        private final List<SentRequest> sentRequests = new ArrayList<>();
        private List<String> addresses = List.of("b", "c", "d");

        @Override
        public List<String> addresses() {
            return addresses;
        }

        @Override
        public void send(String address, QuotaRequest request) {
            sentRequests.add(new SentRequest(address, request));
        }

        private SentRequest last() {
            return sentRequests.get(sentRequests.size() - 1);
        }

        private Set<String> queriedAddresses() {
            return sentRequests.stream().map(SentRequest::address).collect(Collectors.toCollection(TreeSet::new));
        }
    }

    private VirtualTime time;
    private ScriptedPeers peers;
    private QuotaTokens tokens;
    private List<QuotaReply> replies;
    private long lastId;
    private long version;

    @BeforeEach
    @BeforeTry
    void begin() throws Exception {
        time = new VirtualTime();
        peers = new ScriptedPeers();
        tokens = new QuotaTokens(time, BOUNDS, peers, new SplittableRandom(RANDOM_SEED));
        replies = new ArrayList<>();
        lastId = 0;
        version = 0;
        limitTo(RATE_PER_S, BURST);
    }

    // ---- steps ----------------------------------------------------------------------------------------

    private void limitTo(double ratePerSecond, double burst) throws InvalidConfigurationException {
        String json = "{\"config_version\":" + ++version + ",\"routes\":[],\"services\":[],\"tenants\":[{\"name\":\""
                + TENANT + "\",\"access_keys\":[],\"rate_per_s\":" + ratePerSecond + ",\"burst_size\":" + burst
                + "}]}";
        tokens.updateLimits(Configuration.parse(json.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sets the share; the bucket is empty. */
    private void setShare() {
        tokens.updateShare(time.now(), FRACTION, SHARE_ENDS_AT_MS);
    }

    /** Sets the share, and waits until the bucket has {@code count} tokens. */
    private void setShareAndFillBucket(int count) {
        setShare();
        time.advance(count * TOKEN_INTERVAL_MS);
    }

    private QuotaRequest request(int count) {
        return request(TENANT, count, false);
    }

    /** Receives a request. */
    private QuotaRequest request(String tenant, int count, boolean forwarded) {
        QuotaRequest request = new QuotaRequest(++lastId, tenant, count, forwarded);
        tokens.onRequest(request, replies::add);
        return request;
    }

    /** The peer that was queried last replies that it has no token. */
    private void replyExhausted(double retryAfterMs) {
        tokens.onReply(QuotaReply.exhausted(peers.last().request().id, retryAfterMs));
    }

    /** All peers that are queried from now on reply that they have no token for {@code retryAfterMs}. */
    private void replyExhaustedByAll(double retryAfterMs) {
        for (int i = 0; i < peers.addresses.size(); i++) {
            replyExhausted(retryAfterMs);
        }
    }

    /** Advances the time beyond the timeouts of all peers, for replies that are still outstanding. */
    private void awaitPeerTimeouts() {
        time.advance(peers.addresses.size() * PEER_TIMEOUT_MS);
    }

    private void assertRepliedOnce(QuotaRequest request, Outcome outcome, int count) {
        awaitPeerTimeouts();
        List<QuotaReply> own =
                replies.stream().filter(reply -> reply.id == request.id).toList();
        assertEquals(1, own.size(), "replies");
        assertEquals(outcome, own.get(0).outcome);
        assertEquals(count, own.get(0).tokens);
    }

    private double onlyRetryAfterMs() {
        assertEquals(1, replies.size());
        assertEquals(Outcome.EXHAUSTED, replies.get(0).outcome);
        return replies.get(0).retryAfterMs;
    }

    private void assertNoPeerQueried() {
        assertEquals(List.of(), peers.sentRequests);
    }

    // ---- tokens of this control plane ------------------------------------------------------------------

    @Test
    void tokensOfThisControlPlaneAreGrantedWithoutQueryingPeers() {
        setShareAndFillBucket(5);
        assertRepliedOnce(request(3), Outcome.GRANTED, 3);
        assertNoPeerQueried();
    }

    @Test
    void aRequestIsGrantedTheRemainingTokensOfThisControlPlaneWithoutQueryingPeers() {
        setShareAndFillBucket(5);
        assertRepliedOnce(request(9), Outcome.GRANTED, 5);
        assertNoPeerQueried();
    }

    @Test
    void tokensOfAnUnlimitedTenantAreGrantedWithoutAShare() throws Exception {
        limitTo(0, 0);
        assertRepliedOnce(request(7), Outcome.GRANTED, 7);
        assertNoPeerQueried();
    }

    @Test
    void theQuotaOfAnUnknownTenantIsUnavailableWithoutQueryingPeers() {
        setShareAndFillBucket(5);
        assertRepliedOnce(request("birch", 1, false), Outcome.UNAVAILABLE, 0);
        assertNoPeerQueried();
    }

    // ---- requests from peers ---------------------------------------------------------------------------

    @Test
    void aPeersRequestIsGrantedTokensOfThisControlPlane() {
        setShareAndFillBucket(5);
        assertRepliedOnce(request(TENANT, 2, true), Outcome.GRANTED, 2);
        assertNoPeerQueried();
    }

    @Test
    void aPeersRequestIsNotForwarded() {
        setShare();
        assertRepliedOnce(request(TENANT, 1, true), Outcome.EXHAUSTED, 0);
        assertEquals(TOKEN_INTERVAL_MS, replies.get(0).retryAfterMs);
        assertNoPeerQueried();
    }

    @Test
    void aPeersRequestIsUnavailableWithoutAShare() {
        assertRepliedOnce(request(TENANT, 1, true), Outcome.UNAVAILABLE, 0);
        assertNoPeerQueried();
    }

    // ---- forwarding to peers ---------------------------------------------------------------------------

    @Test
    void peersAreQueriedOneAfterTheOtherAndEachOnce() {
        setShare();
        QuotaRequest request = request(3);
        for (int count = 1; count <= peers.addresses.size(); count++) {
            assertEquals(count, peers.sentRequests.size(), "requests sent so far");
            assertEquals(List.of(), replies);
            replyExhausted(TOKEN_INTERVAL_MS);
        }
        assertEquals(Set.of("b", "c", "d"), peers.queriedAddresses());
        assertRepliedOnce(request, Outcome.EXHAUSTED, 0);
        assertEquals(peers.addresses.size(), peers.sentRequests.size());
    }

    @Test
    void aForwardedRequestIsForTheSameTenantAndTokens() {
        setShare();
        request(3);
        QuotaRequest forwarded = peers.last().request();
        assertEquals(TENANT, forwarded.tenant);
        assertEquals(3, forwarded.tokens);
        assertTrue(forwarded.forwarded);
    }

    @Test
    void tokensGrantedByAPeerAreGranted() {
        setShare();
        QuotaRequest request = request(3);
        replyExhausted(TOKEN_INTERVAL_MS);
        tokens.onReply(QuotaReply.granted(peers.last().request().id, 2));
        assertRepliedOnce(request, Outcome.GRANTED, 2);
        assertEquals(2, peers.sentRequests.size(), "no further peer is queried");
    }

    @Test
    void peersAreQueriedWithoutAShare() {
        QuotaRequest request = request(1);
        tokens.onReply(QuotaReply.granted(peers.last().request().id, 1));
        assertRepliedOnce(request, Outcome.GRANTED, 1);
    }

    @Test
    void aPeerThatRepliesUnavailableIsSkipped() {
        setShare();
        QuotaRequest request = request(1);
        tokens.onReply(QuotaReply.unavailable(peers.last().request().id));
        tokens.onReply(QuotaReply.granted(peers.last().request().id, 1));
        assertRepliedOnce(request, Outcome.GRANTED, 1);
    }

    @Test
    void aPeerThatTimesOutIsSkippedAndItsLateReplyIgnored() {
        setShare();
        QuotaRequest request = request(1);
        SentRequest unansweredRequest = peers.last();
        time.advance(PEER_TIMEOUT_MS);
        assertEquals(2, peers.sentRequests.size());
        tokens.onReply(QuotaReply.granted(unansweredRequest.request().id, 1));
        assertEquals(List.of(), replies);
        tokens.onReply(QuotaReply.granted(peers.last().request().id, 1));
        tokens.onReply(QuotaReply.granted(unansweredRequest.request().id, 1));
        assertRepliedOnce(request, Outcome.GRANTED, 1);
    }

    @Test
    void aRequestReceivesAReplyIfNoPeerReplies() {
        setShare();
        assertRepliedOnce(request(1), Outcome.EXHAUSTED, 0);
    }

    @Test
    void theQuotaIsUnavailableIfNoControlPlaneHasAShare() {
        QuotaRequest request = request(1);
        for (int i = 0; i < peers.addresses.size(); i++) {
            tokens.onReply(QuotaReply.unavailable(peers.last().request().id));
        }
        assertRepliedOnce(request, Outcome.UNAVAILABLE, 0);
    }

    @Test
    void theQuotaIsUnavailableWithoutAShareAndWithoutPeers() {
        peers.addresses = List.of();
        assertRepliedOnce(request(1), Outcome.UNAVAILABLE, 0);
    }

    /** Two requests are forwarded at the same time; each reply belongs to one of them. */
    @Test
    void repliesAreMatchedToRequestsById() {
        QuotaRequest first = request(1);
        SentRequest forwardedFirst = peers.last();
        QuotaRequest second = request(2);
        SentRequest forwardedSecond = peers.last();
        tokens.onReply(QuotaReply.granted(forwardedSecond.request().id, 2));
        tokens.onReply(QuotaReply.granted(forwardedFirst.request().id, 1));
        assertRepliedOnce(first, Outcome.GRANTED, 1);
        assertRepliedOnce(second, Outcome.GRANTED, 2);
    }

    // ---- exhaustion ------------------------------------------------------------------------------------

    /** The bucket of this control plane has its next token after 200 ms. */
    @ParameterizedTest
    @CsvSource({"120,120", "400,200", "1,50"})
    void theRetryTimeIsTheShortestOfAllButNotBelowTheMinimum(double peerRetryAfterMs, double retryAfterMs) {
        setShare();
        request(1);
        replyExhaustedByAll(peerRetryAfterMs);
        assertEquals(retryAfterMs, onlyRetryAfterMs());
    }

    @Test
    void theRetryTimeOfATenantWithALowRateIsAtMostOneSecond() throws Exception {
        limitTo(0.1, BURST);
        setShare();
        request(1);
        replyExhaustedByAll(60_000);
        assertEquals(1_000, onlyRetryAfterMs());
    }

    @Test
    void noPeerIsQueriedUntilTheRetryTimeAfterAllWereExhausted() {
        peers.addresses = List.of("b");
        request(1);
        replyExhausted(500);
        replies.clear();
        time.advance(400);
        QuotaRequest second = request(1);
        assertEquals(100, onlyRetryAfterMs());
        assertEquals(1, peers.sentRequests.size());
        assertRepliedOnce(second, Outcome.EXHAUSTED, 0);
        time.advance(100);
        request(1);
        assertEquals(2, peers.sentRequests.size());
    }

    @Test
    void tokensOfThisControlPlaneAreGrantedAfterAllWereExhausted() {
        setShare();
        request(1);
        replyExhaustedByAll(1_000);
        replies.clear();
        time.advance(TOKEN_INTERVAL_MS);
        assertRepliedOnce(request(1), Outcome.GRANTED, 1);
    }

    /** Unavailable replies do not prevent further queries; only an exhausted quota does. */
    @Test
    void peersAreQueriedAgainAfterUnavailableReplies() {
        peers.addresses = List.of("b");
        request(1);
        tokens.onReply(QuotaReply.unavailable(peers.last().request().id));
        request(1);
        assertEquals(2, peers.sentRequests.size());
    }

    // ---- configurations and shares ----------------------------------------------------------------------

    @Test
    void theLimitsOfANewerConfigurationApplyImmediately() throws Exception {
        setShareAndFillBucket(10);
        limitTo(RATE_PER_S, 4);
        assertRepliedOnce(request(10), Outcome.GRANTED, 2);
    }

    @Test
    void aTenantWhoseLimitIsRemovedIsGrantedTokensImmediately() throws Exception {
        setShare();
        limitTo(0, 0);
        assertRepliedOnce(request(3), Outcome.GRANTED, 3);
    }

    @Test
    void aNewerConfigurationResetsTheExhaustion() throws Exception {
        peers.addresses = List.of("b");
        request(1);
        replyExhausted(1_000);
        limitTo(RATE_PER_S, BURST);
        request(1);
        assertEquals(2, peers.sentRequests.size());
    }

    @Test
    void tokensExpireWithTheShare() {
        tokens.updateShare(time.now(), FRACTION, 1_000);
        time.advance(1_000);
        assertRepliedOnce(request(TENANT, 1, true), Outcome.UNAVAILABLE, 0);
    }

    // ---- many requests ---------------------------------------------------------------------------------

    @Test
    void theNumberOfForwardedRequestsIsLimited() {
        setShare();
        for (int i = 0; i < MANY_REQUESTS; i++) {
            request(1);
        }
        assertEquals(1_024, peers.sentRequests.size());
        assertEquals(MANY_REQUESTS - 1_024, replies.size());
        awaitPeerTimeouts();
        assertEquals(MANY_REQUESTS, replies.size());
    }

    /** Without a share and without replies of peers, it is unknown whether the tenant's quota is exhausted. */
    @Test
    void requestsBeyondTheForwardingLimitAreUnavailableWithoutAShare() {
        for (int i = 0; i < MANY_REQUESTS; i++) {
            request(1);
        }
        assertEquals(Outcome.UNAVAILABLE, replies.get(0).outcome);
    }

    /** Events that may occur while requests are open. */
    enum Step {
        REQUEST,
        PEER_REQUEST,
        REPLY_GRANTED,
        REPLY_EXHAUSTED,
        REPLY_UNAVAILABLE,
        DUPLICATE_REPLIES,
        ADVANCE_TIME,
        SET_SHARE,
        REMOVE_SHARE,
        CHANGE_LIMIT
    }

    @Property(tries = 300)
    void eachRequestReceivesExactlyOneReply(@ForAll @Size(max = 60) List<Step> steps) throws Exception {
        for (Step step : steps) {
            execute(step);
        }
        awaitPeerTimeouts();
        Map<Long, Integer> counts = new TreeMap<>();
        replies.forEach(reply -> counts.merge(reply.id, 1, Integer::sum));
        assertEquals(requestIds(), counts.keySet());
        assertTrue(counts.values().stream().allMatch(count -> count == 1), counts.toString());
    }

    private Set<Long> requestIds() {
        Set<Long> ids = new TreeSet<>();
        for (long id = 1; id <= lastId; id++) {
            ids.add(id);
        }
        return ids;
    }

    private void execute(Step step) throws Exception {
        switch (step) {
            case REQUEST -> request(2);
            case PEER_REQUEST -> request(TENANT, 1, true);
            case REPLY_GRANTED -> replyToLast(QuotaReply::granted, 1);
            case REPLY_EXHAUSTED -> replyToLast((id, ms) -> QuotaReply.exhausted(id, ms), 100);
            case REPLY_UNAVAILABLE -> replyToLast((id, unused) -> QuotaReply.unavailable(id), 0);
            case DUPLICATE_REPLIES -> peers.sentRequests.forEach(
                    sent -> tokens.onReply(QuotaReply.granted(sent.request().id, 1)));
            case ADVANCE_TIME -> time.advance(PEER_TIMEOUT_MS);
            case SET_SHARE -> setShare();
            case REMOVE_SHARE -> tokens.updateShare(time.now(), 0, time.now());
            case CHANGE_LIMIT -> limitTo(version % 3 * RATE_PER_S, BURST);
        }
    }

    /** Creates a reply to the request {@code id} with an amount of tokens or milliseconds. */
    private interface ReplyFactory {
        QuotaReply reply(long id, int amount);
    }

    private void replyToLast(ReplyFactory factory, int amount) {
        if (!peers.sentRequests.isEmpty()) {
            tokens.onReply(factory.reply(peers.last().request().id, amount));
        }
    }
}
