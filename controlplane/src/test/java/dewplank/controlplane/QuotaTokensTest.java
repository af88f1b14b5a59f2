package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.Configuration;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaReply.Outcome;
import dewplank.message.QuotaRequest;
import dewplank.quota.QuotaTerms;
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

/** Which requests for tokens are granted here, for which the other control planes are asked, and what is replied. */
class QuotaTokensTest {
    private static final String TENANT = "acme";
    private static final double RATE_PER_S = 10;
    private static final double BURST = 20;
    /** Of all limits: the bucket gets five tokens a second, up to ten. */
    private static final double FRACTION = 0.5;
    /** The time in which the bucket gets one token. */
    private static final double TOKEN_INTERVAL_MS = 200;

    private static final double SHARE_ENDS_AT_MS = 1_000_000;
    /** Longer than a peer has to reply. */
    private static final double PEER_TIMEOUT_MS = 60;
    /** More requests at once than peers are asked for. */
    private static final int MANY_REQUESTS = 1_100;

    private static final QuotaTerms TERMS = new QuotaTerms(10_000, 0.05, 0);
    private static final long RANDOM_SEED = 5;

    /** A request that a peer was asked. */
    private record Asked(String address, QuotaRequest request) {}

    /** Peers that record what they are asked; the test replies for them. */
    private static final class ScriptedPeers implements QuotaTokens.Peers {
        private final List<Asked> asked = new ArrayList<>();
        private List<String> addresses = List.of("b", "c", "d");

        @Override
        public List<String> addresses() {
            return addresses;
        }

        @Override
        public void send(String address, QuotaRequest request) {
            asked.add(new Asked(address, request));
        }

        private Asked last() {
            return asked.get(asked.size() - 1);
        }

        private Set<String> askedAddresses() {
            return asked.stream().map(Asked::address).collect(Collectors.toCollection(TreeSet::new));
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
        tokens = new QuotaTokens(time, TERMS, peers, new SplittableRandom(RANDOM_SEED));
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
        tokens.configurationChosen(Configuration.parse(json.getBytes(StandardCharsets.UTF_8)));
    }

    /** Gets the share; the bucket is empty. */
    private void holdShare() {
        tokens.shareHeld(time.now(), FRACTION, SHARE_ENDS_AT_MS);
    }

    /** Gets the share, and has so many tokens in the bucket. */
    private void holdTokens(int count) {
        holdShare();
        time.run(count * TOKEN_INTERVAL_MS);
    }

    private QuotaRequest request(int count) {
        return request(TENANT, count, false);
    }

    /** A request that arrives here. */
    private QuotaRequest request(String tenant, int count, boolean forwarded) {
        QuotaRequest request = new QuotaRequest(++lastId, tenant, count, forwarded);
        tokens.requested(request, replies::add);
        return request;
    }

    /** The peer that was asked last replies that it has no token. */
    private void replyExhausted(double retryAfterMs) {
        tokens.replied(QuotaReply.exhausted(peers.last().request().id, retryAfterMs));
    }

    /** All peers that are asked from now on have no token for so long. */
    private void replyExhaustedByAll(double retryAfterMs) {
        for (int i = 0; i < peers.addresses.size(); i++) {
            replyExhausted(retryAfterMs);
        }
    }

    /** Lets all peers' time run out, for any reply that may still come. */
    private void awaitPeers() {
        time.run(peers.addresses.size() * PEER_TIMEOUT_MS);
    }

    private void assertRepliedOnce(QuotaRequest request, Outcome outcome, int count) {
        awaitPeers();
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

    private void assertAskedNobody() {
        assertEquals(List.of(), peers.asked);
    }

    // ---- tokens of this control plane ------------------------------------------------------------------

    @Test
    void ownTokensAreGrantedWithoutAskingPeers() {
        holdTokens(5);
        assertRepliedOnce(request(3), Outcome.GRANTED, 3);
        assertAskedNobody();
    }

    @Test
    void asManyOwnTokensAsThereAreAreGrantedWithoutAskingPeers() {
        holdTokens(5);
        assertRepliedOnce(request(9), Outcome.GRANTED, 5);
        assertAskedNobody();
    }

    @Test
    void tokensOfAnUnlimitedTenantAreGrantedWithoutAShare() throws Exception {
        limitTo(0, 0);
        assertRepliedOnce(request(7), Outcome.GRANTED, 7);
        assertAskedNobody();
    }

    @Test
    void nothingIsToldOfAnUnknownTenantAndNobodyIsAsked() {
        holdTokens(5);
        assertRepliedOnce(request("birch", 1, false), Outcome.UNAVAILABLE, 0);
        assertAskedNobody();
    }

    // ---- requests of peers -----------------------------------------------------------------------------

    @Test
    void aPeersRequestIsGrantedOwnTokens() {
        holdTokens(5);
        assertRepliedOnce(request(TENANT, 2, true), Outcome.GRANTED, 2);
        assertAskedNobody();
    }

    @Test
    void aPeersRequestAsksNobodyOn() {
        holdShare();
        assertRepliedOnce(request(TENANT, 1, true), Outcome.EXHAUSTED, 0);
        assertEquals(TOKEN_INTERVAL_MS, replies.get(0).retryAfterMs);
        assertAskedNobody();
    }

    @Test
    void aPeerIsToldNothingByAControlPlaneWithoutAShare() {
        assertRepliedOnce(request(TENANT, 1, true), Outcome.UNAVAILABLE, 0);
        assertAskedNobody();
    }

    // ---- asking peers ----------------------------------------------------------------------------------

    @Test
    void peersAreAskedOneAfterTheOtherAndEachOnce() {
        holdShare();
        QuotaRequest request = request(3);
        for (int count = 1; count <= peers.addresses.size(); count++) {
            assertEquals(count, peers.asked.size(), "asked so far");
            assertEquals(List.of(), replies);
            replyExhausted(TOKEN_INTERVAL_MS);
        }
        assertEquals(Set.of("b", "c", "d"), peers.askedAddresses());
        assertRepliedOnce(request, Outcome.EXHAUSTED, 0);
        assertEquals(peers.addresses.size(), peers.asked.size());
    }

    @Test
    void aPeerIsAskedForTheSameTokensByAForwardedRequest() {
        holdShare();
        request(3);
        QuotaRequest forwarded = peers.last().request();
        assertEquals(TENANT, forwarded.tenant);
        assertEquals(3, forwarded.tokens);
        assertTrue(forwarded.forwarded);
    }

    @Test
    void whatAPeerGrantsIsHandedOn() {
        holdShare();
        QuotaRequest request = request(3);
        replyExhausted(TOKEN_INTERVAL_MS);
        tokens.replied(QuotaReply.granted(peers.last().request().id, 2));
        assertRepliedOnce(request, Outcome.GRANTED, 2);
        assertEquals(2, peers.asked.size(), "no further peer is asked");
    }

    @Test
    void peersAreAskedWhereThereIsNoShareHere() {
        QuotaRequest request = request(1);
        tokens.replied(QuotaReply.granted(peers.last().request().id, 1));
        assertRepliedOnce(request, Outcome.GRANTED, 1);
    }

    @Test
    void aPeerThatCannotTellIsSkipped() {
        holdShare();
        QuotaRequest request = request(1);
        tokens.replied(QuotaReply.unavailable(peers.last().request().id));
        tokens.replied(QuotaReply.granted(peers.last().request().id, 1));
        assertRepliedOnce(request, Outcome.GRANTED, 1);
    }

    @Test
    void aPeerThatDoesNotReplyInTimeIsSkippedAndItsLateReplyIgnored() {
        holdShare();
        QuotaRequest request = request(1);
        Asked silent = peers.last();
        time.run(PEER_TIMEOUT_MS);
        assertEquals(2, peers.asked.size());
        tokens.replied(QuotaReply.granted(silent.request().id, 1));
        assertEquals(List.of(), replies);
        tokens.replied(QuotaReply.granted(peers.last().request().id, 1));
        tokens.replied(QuotaReply.granted(silent.request().id, 1));
        assertRepliedOnce(request, Outcome.GRANTED, 1);
    }

    @Test
    void aRequestIsRepliedToWhereNoPeerReplies() {
        holdShare();
        assertRepliedOnce(request(1), Outcome.EXHAUSTED, 0);
    }

    @Test
    void nobodyCanTellWhereNoControlPlaneHasAShare() {
        QuotaRequest request = request(1);
        for (int i = 0; i < peers.addresses.size(); i++) {
            tokens.replied(QuotaReply.unavailable(peers.last().request().id));
        }
        assertRepliedOnce(request, Outcome.UNAVAILABLE, 0);
    }

    @Test
    void nobodyCanTellWithoutAShareAndWithoutPeers() {
        peers.addresses = List.of();
        assertRepliedOnce(request(1), Outcome.UNAVAILABLE, 0);
    }

    /** Two requests are open at once: each peer's reply goes to its own. */
    @Test
    void repliesAreToldApartByTheirNumbers() {
        QuotaRequest first = request(1);
        Asked ofFirst = peers.last();
        QuotaRequest second = request(2);
        Asked ofSecond = peers.last();
        tokens.replied(QuotaReply.granted(ofSecond.request().id, 2));
        tokens.replied(QuotaReply.granted(ofFirst.request().id, 1));
        assertRepliedOnce(first, Outcome.GRANTED, 1);
        assertRepliedOnce(second, Outcome.GRANTED, 2);
    }

    // ---- exhaustion ------------------------------------------------------------------------------------

    /** The bucket here has its next token after 200 ms. */
    @ParameterizedTest
    @CsvSource({"120,120", "400,200", "1,50"})
    void theSoonestOfAllNextTokensIsNamedButNoTimeBelowTheBound(double peersMs, double namedMs) {
        holdShare();
        request(1);
        replyExhaustedByAll(peersMs);
        assertEquals(namedMs, onlyRetryAfterMs());
    }

    @Test
    void aTenantWithALowRateIsToldToComeBackWithinASecond() throws Exception {
        limitTo(0.1, BURST);
        holdShare();
        request(1);
        replyExhaustedByAll(60_000);
        assertEquals(1_000, onlyRetryAfterMs());
    }

    @Test
    void onceAllAreExhaustedNobodyIsAskedUntilTheTimeNamed() {
        peers.addresses = List.of("b");
        request(1);
        replyExhausted(500);
        replies.clear();
        time.run(400);
        QuotaRequest second = request(1);
        assertEquals(100, onlyRetryAfterMs());
        assertEquals(1, peers.asked.size());
        assertRepliedOnce(second, Outcome.EXHAUSTED, 0);
        time.run(100);
        request(1);
        assertEquals(2, peers.asked.size());
    }

    @Test
    void ownTokensAreGrantedThoughAllWereExhausted() {
        holdShare();
        request(1);
        replyExhaustedByAll(1_000);
        replies.clear();
        time.run(TOKEN_INTERVAL_MS);
        assertRepliedOnce(request(1), Outcome.GRANTED, 1);
    }

    /** That nobody could tell is no reason not to ask again. */
    @Test
    void peersAreAskedAgainAfterNobodyCouldTell() {
        peers.addresses = List.of("b");
        request(1);
        tokens.replied(QuotaReply.unavailable(peers.last().request().id));
        request(1);
        assertEquals(2, peers.asked.size());
    }

    // ---- configurations and shares ----------------------------------------------------------------------

    @Test
    void aNewerConfigurationsLimitsHoldAtOnce() throws Exception {
        holdTokens(10);
        limitTo(RATE_PER_S, 4);
        assertRepliedOnce(request(10), Outcome.GRANTED, 2);
    }

    @Test
    void aTenantWhoseLimitIsLiftedIsGrantedAtOnce() throws Exception {
        holdShare();
        limitTo(0, 0);
        assertRepliedOnce(request(3), Outcome.GRANTED, 3);
    }

    @Test
    void aNewerConfigurationForgetsTheExhaustion() throws Exception {
        peers.addresses = List.of("b");
        request(1);
        replyExhausted(1_000);
        limitTo(RATE_PER_S, BURST);
        request(1);
        assertEquals(2, peers.asked.size());
    }

    @Test
    void tokensEndWithTheShare() {
        tokens.shareHeld(time.now(), FRACTION, 1_000);
        time.run(1_000);
        assertRepliedOnce(request(TENANT, 1, true), Outcome.UNAVAILABLE, 0);
    }

    // ---- many requests ---------------------------------------------------------------------------------

    @Test
    void peersAreAskedForABoundedNumberOfRequestsAtOnce() {
        holdShare();
        for (int i = 0; i < MANY_REQUESTS; i++) {
            request(1);
        }
        assertEquals(1_024, peers.asked.size());
        assertEquals(MANY_REQUESTS - 1_024, replies.size());
        awaitPeers();
        assertEquals(MANY_REQUESTS, replies.size());
    }

    /** It has no share, and asks nobody: that the tenant has used up its quota is not known. */
    @Test
    void aControlPlaneWithoutAShareCannotTellWhereItAsksNobodyFurther() {
        for (int i = 0; i < MANY_REQUESTS; i++) {
            request(1);
        }
        assertEquals(Outcome.UNAVAILABLE, replies.get(0).outcome);
    }

    /** What may happen while requests are open. */
    enum Step {
        REQUEST,
        REQUEST_OF_A_PEER,
        GRANT,
        EXHAUST,
        CANNOT_TELL,
        REPLY_AGAIN,
        TIME_PASSES,
        SHARE_IS_HELD,
        SHARE_IS_LOST,
        LIMIT_CHANGES
    }

    @Property(tries = 300)
    void eachRequestIsRepliedToExactlyOnce(@ForAll @Size(max = 60) List<Step> steps) throws Exception {
        for (Step step : steps) {
            take(step);
        }
        awaitPeers();
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

    private void take(Step step) throws Exception {
        switch (step) {
            case REQUEST -> request(2);
            case REQUEST_OF_A_PEER -> request(TENANT, 1, true);
            case GRANT -> replyToLast(QuotaReply::granted, 1);
            case EXHAUST -> replyToLast((id, ms) -> QuotaReply.exhausted(id, ms), 100);
            case CANNOT_TELL -> replyToLast((id, unused) -> QuotaReply.unavailable(id), 0);
            case REPLY_AGAIN -> peers.asked.forEach(asked -> tokens.replied(QuotaReply.granted(asked.request().id, 1)));
            case TIME_PASSES -> time.run(PEER_TIMEOUT_MS);
            case SHARE_IS_HELD -> holdShare();
            case SHARE_IS_LOST -> tokens.shareHeld(time.now(), 0, time.now());
            case LIMIT_CHANGES -> limitTo(version % 3 * RATE_PER_S, BURST);
        }
    }

    /** A reply with this number for the request, and a number of tokens or milliseconds. */
    private interface ReplyFactory {
        QuotaReply reply(long id, int amount);
    }

    private void replyToLast(ReplyFactory factory, int amount) {
        if (!peers.asked.isEmpty()) {
            tokens.replied(factory.reply(peers.last().request().id, amount));
        }
    }
}
