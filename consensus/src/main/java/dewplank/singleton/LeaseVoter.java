package dewplank.singleton;

import dewplank.singleton.VoteReply.Verdict;
import dewplank.singleton.VoteReply.VoteState;
import java.util.HashMap;
import java.util.Map;

/**
 * One control plane's vote in the elections of lease holders: for each singleton role it is bound to one {@link
 * Candidate} at a time, for the length of a lease, and never votes twice under one fencing token. Invariants 1 to 5 and
 * 8 of {@code docs/control-state.md}, point 6, are enforced here; the comments refer to them by number.
 *
 * <p>A state machine without input or output, like the candidate: the caller hands in the time, the requests and the
 * sets of voters, and does what {@link Effects} say. Not thread-safe; the control plane calls it on its event loop.
 * Times are in milliseconds of one steady clock. No method throws but for a fault in the program.
 */
public final class LeaseVoter {
    /** What the voter wants done; called on the caller's thread, before the method that was called returns. */
    public interface Effects {
        /**
         * Persists the reply's token, and only then calls {@link LeaseVoter#onTokenPersisted} and sends the reply
         * (invariant 1). Where it can't be persisted the reply must not be sent, and
         * {@link LeaseVoter#onPersistFailed} is called. Tokens of one role are persisted in the order of these calls.
         *
         * @param request the request that the token is granted to
         * @param reply what to send afterwards
         */
        void persistToken(VoteRequest request, VoteReply reply);

        /**
         * Sends a reply to the candidate that sent the request.
         *
         * @param reply the reply, which may be lost
         */
        void send(VoteReply reply);

        /**
         * A lease holder released its lease: this process's own candidate may begin an election at once.
         *
         * @param duty the role
         */
        void leaseReleased(String duty);
    }

    /** The vote for one role. */
    private static final class Vote {
        private long highestToken;
        private long persistedToken;
        private long releasedToken;
        /** The candidate that the vote is granted to; null where it is granted to none. */
        private String grantedTo;

        private double expiresAtMs;

        private boolean bindsToAnother(String candidate, double nowMs) {
            return isBinding(nowMs) && !grantedTo.equals(candidate);
        }

        private boolean isBinding(double nowMs) {
            return grantedTo != null && nowMs < expiresAtMs;
        }
    }

    /** Of a lease: for so long after a failed write no token that needs the disk is granted; it may recover. */
    private static final double PERSIST_BACKOFF_FRACTION = 1.0 / 4;

    private final String identity;
    private final double leaseMs;
    private final double abstainsUntilMs;
    private final Map<String, Vote> votes = new HashMap<>();

    private long chosenGeneration;
    private long acceptedGeneration;
    private double noNewHolderUntilMs = Double.NEGATIVE_INFINITY;
    private double persistBackoffUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * A voter at the start of a process.
     *
     * @param identity the identity drawn with its disk (invariant 4)
     * @param leaseMs how long a vote binds it
     * @param abstainsUntilMs the time before which it grants nothing: one lease after the start, or 0 where it can't
     *        have voted before (invariant 3)
     * @param persistedTokens the highest token that is on disk, by role
     */
    public LeaseVoter(String identity, double leaseMs, double abstainsUntilMs, Map<String, Long> persistedTokens) {
        this.identity = identity;
        this.leaseMs = leaseMs;
        this.abstainsUntilMs = abstainsUntilMs;
        for (Map.Entry<String, Long> persisted : persistedTokens.entrySet()) {
            Vote vote = vote(persisted.getKey());
            vote.highestToken = persisted.getValue();
            vote.persistedToken = persisted.getValue();
        }
    }

    /**
     * Takes what this process knows of the sets of voters (invariant 8). To be called before the acceptance of a newer
     * set leaves the process: candidates that count by an older set are rejected from then on. A set that was only
     * accepted may give way to an older generation; then it never was chosen.
     *
     * @param nowMs the time by the voter's steady clock
     * @param chosen the generation of the newest set known to be chosen
     * @param accepted the generation of the set accepted last, whether or not it is known to be chosen
     */
    public void updateVoterSet(double nowMs, long chosen, long accepted) {
        long generationBefore = generation();
        chosenGeneration = Math.max(chosenGeneration, chosen);
        acceptedGeneration = accepted;
        if (generation() > generationBefore) {
            noNewHolderUntilMs = nowMs + leaseMs;
        }
    }

    private long generation() {
        return Math.max(chosenGeneration, acceptedGeneration);
    }

    /**
     * Takes a candidate's request, and replies to it unless it withdraws or releases.
     *
     * @param nowMs the time by the voter's steady clock
     * @param request the request; one that is meant for another identity is replied to, but neither binds nor frees
     * @param effects takes what is to be done
     */
    public void onVoteRequest(double nowMs, VoteRequest request, Effects effects) {
        Vote vote = vote(request.duty());
        if (!request.voterIdentity().equals(identity)) {
            rejectForWrongIdentity(nowMs, request, vote, effects);
            return;
        }
        updateVoterSet(nowMs, request.voterSetGeneration(), acceptedGeneration); // candidates count by chosen sets only
        switch (request.kind()) {
            case PROBE -> reply(nowMs, request, vote, verdictOnProbe(nowMs, request, vote), effects);
            case REQUEST_VOTE -> grantOrReply(nowMs, request, vote, verdictOnVote(nowMs, request, vote), effects);
            case RENEW -> grantOrReply(nowMs, request, vote, verdictOnRenewal(nowMs, request, vote), effects);
            case WITHDRAW -> revoke(request, vote);
            case RELEASE -> release(request, vote, effects);
        }
    }

    /**
     * The token is on disk: replies under it need not wait for the disk any more.
     *
     * @param request the request that {@link Effects#persistToken} was called with
     */
    public void onTokenPersisted(VoteRequest request) {
        Vote vote = vote(request.duty());
        vote.persistedToken = Math.max(vote.persistedToken, request.fencingToken());
    }

    /**
     * The token could not be persisted: the vote is not granted, and the candidate gets a reply, so that it does not
     * wait. No other candidate is granted the token, as the disk may hold it after all.
     *
     * @param nowMs the time by the voter's steady clock
     * @param request the request that {@link Effects#persistToken} was called with
     * @param effects takes what is to be done
     */
    public void onPersistFailed(double nowMs, VoteRequest request, Effects effects) {
        Vote vote = vote(request.duty());
        persistBackoffUntilMs = nowMs + leaseMs * PERSIST_BACKOFF_FRACTION;
        if (isGrantedTo(request, vote)) {
            vote.grantedTo = null;
        }
        reply(nowMs, request, vote, Verdict.ABSTAINED, effects);
    }

    /** A disk that is no member must neither vote nor leave the candidate waiting. */
    private void rejectForWrongIdentity(double nowMs, VoteRequest request, Vote vote, Effects effects) {
        switch (request.kind()) {
            case PROBE, REQUEST_VOTE, RENEW -> reply(nowMs, request, vote, Verdict.WRONG_IDENTITY, effects);
            case WITHDRAW, RELEASE -> {}
        }
    }

    // ---- verdicts -------------------------------------------------------------------------------------

    private Verdict verdictOnProbe(double nowMs, VoteRequest request, Vote vote) {
        if (isExcluded(nowMs, request, vote)) {
            return nowMs < abstainsUntilMs ? Verdict.ABSTAINED : Verdict.REJECTED;
        }
        return nowMs < noVoteUntilMs() ? Verdict.ABSTAINED : Verdict.GRANTED;
    }

    private Verdict verdictOnVote(double nowMs, VoteRequest request, Vote vote) {
        if (nowMs < abstainsUntilMs) {
            return Verdict.ABSTAINED;
        }
        long usedToken = Math.max(vote.highestToken, vote.releasedToken);
        if (request.fencingToken() <= usedToken || isExcluded(nowMs, request, vote)) {
            return Verdict.REJECTED;
        }
        return nowMs < noVoteUntilMs() ? Verdict.ABSTAINED : Verdict.GRANTED;
    }

    /** A change of the set does not interrupt the holder, so what keeps new holders away does not stop a renewal. */
    private Verdict verdictOnRenewal(double nowMs, VoteRequest request, Vote vote) {
        if (nowMs < abstainsUntilMs) {
            return Verdict.ABSTAINED;
        }
        if (!isRenewable(request, vote) || isExcluded(nowMs, request, vote)) {
            return Verdict.REJECTED;
        }
        boolean needsDisk = request.fencingToken() > vote.persistedToken;
        return needsDisk && nowMs < persistBackoffUntilMs ? Verdict.ABSTAINED : Verdict.GRANTED;
    }

    private double noVoteUntilMs() {
        return Math.max(abstainsUntilMs, Math.max(noNewHolderUntilMs, persistBackoffUntilMs));
    }

    private boolean isExcluded(double nowMs, VoteRequest request, Vote vote) {
        return request.voterSetGeneration() < generation() || vote.bindsToAnother(request.candidate(), nowMs);
    }

    /** Only the winner of a token renews it, so a voter that forgot whom it granted the token to may follow. */
    private static boolean isRenewable(VoteRequest request, Vote vote) {
        return request.fencingToken() >= vote.highestToken && request.fencingToken() > vote.releasedToken;
    }

    // ---- grants ---------------------------------------------------------------------------------------

    private void grantOrReply(double nowMs, VoteRequest request, Vote vote, Verdict verdict, Effects effects) {
        if (verdict == Verdict.GRANTED) {
            grant(nowMs, request, vote, effects);
        } else {
            reply(nowMs, request, vote, verdict, effects);
        }
    }

    private void grant(double nowMs, VoteRequest request, Vote vote, Effects effects) {
        vote.highestToken = request.fencingToken();
        vote.grantedTo = request.candidate();
        vote.expiresAtMs = nowMs + leaseMs;
        VoteReply reply = new VoteReply(request, identity, Verdict.GRANTED, stateOf(vote, nowMs));
        if (vote.highestToken > vote.persistedToken) {
            effects.persistToken(request, reply);
        } else {
            effects.send(reply);
        }
    }

    private static boolean isGrantedTo(VoteRequest request, Vote vote) {
        return request.candidate().equals(vote.grantedTo) && request.fencingToken() == vote.highestToken;
    }

    private static boolean isGrantedToAnother(VoteRequest request, Vote vote) {
        return vote.grantedTo != null
                && request.fencingToken() == vote.highestToken
                && !request.candidate().equals(vote.grantedTo);
    }

    private static void revoke(VoteRequest request, Vote vote) {
        if (isGrantedTo(request, vote)) {
            vote.grantedTo = null;
            vote.releasedToken = request.fencingToken();
        }
    }

    /**
     * Only the winner of a token releases it, so a release counts at a voter that did not vote for it too: the holder's
     * requests that are still on their way must not bind this vote.
     */
    private static void release(VoteRequest request, Vote vote, Effects effects) {
        long token = request.fencingToken();
        boolean superseded = token < vote.highestToken || token <= vote.releasedToken;
        if (superseded || isGrantedToAnother(request, vote)) {
            return;
        }
        vote.releasedToken = token;
        if (isGrantedTo(request, vote)) {
            vote.grantedTo = null;
        }
        effects.leaseReleased(request.duty());
    }

    private void reply(double nowMs, VoteRequest request, Vote vote, Verdict verdict, Effects effects) {
        effects.send(new VoteReply(request, identity, verdict, stateOf(vote, nowMs)));
    }

    /** Nobody else gets the vote before the remaining time is over; after a restart it is not known who had it. */
    private VoteState stateOf(Vote vote, double nowMs) {
        if (nowMs < abstainsUntilMs) {
            return new VoteState(vote.highestToken, null, abstainsUntilMs - nowMs);
        }
        boolean binding = vote.isBinding(nowMs);
        double untilMs = binding ? Math.max(vote.expiresAtMs, noVoteUntilMs()) : noVoteUntilMs();
        return new VoteState(vote.highestToken, binding ? vote.grantedTo : null, Math.max(0, untilMs - nowMs));
    }

    private Vote vote(String duty) {
        Vote vote = votes.get(duty);
        if (vote == null) {
            vote = new Vote();
            votes.put(duty, vote);
        }
        return vote;
    }
}
