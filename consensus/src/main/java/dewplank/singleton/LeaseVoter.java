package dewplank.singleton;

import dewplank.singleton.VoteReply.Verdict;
import dewplank.singleton.VoteReply.VoteState;
import java.util.HashMap;
import java.util.Map;

/**
 * One control plane's voter in the elections of lease holders. For each singleton role, the voter is bound to at most
 * one {@link Candidate} at a time, for the duration of a lease, and never votes twice under one fencing token. It
 * enforces invariants 1 to 5 and 8 of {@code docs/control-state.md}, point 6; the comments refer to them by number.
 *
 * <p>A state machine that does no I/O, like the candidate: the caller passes in the time, the requests and the
 * generations of the voter sets, and implements {@link Effects}. Not thread-safe; the control plane calls it on its
 * event loop. Times are in milliseconds of one monotonic clock. Methods throw only on a programming error.
 */
public final class LeaseVoter {
    /** Actions of the voter; called on the caller's thread, before the voter's method returns. */
    public interface Effects {
        /**
         * Persists the reply's token, and only then calls {@link LeaseVoter#onTokenPersisted} and sends the reply
         * (invariant 1). If the token can't be persisted, calls {@link LeaseVoter#onPersistFailed} instead and must not
         * send the reply. Tokens of one role are persisted in the order of these calls.
         *
         * @param request the request for which the token is granted
         * @param reply the reply to send once the token is persisted
         */
        void persistToken(VoteRequest request, VoteReply reply);

        /**
         * Sends a reply to the candidate that sent the request.
         *
         * @param reply the reply, which may be lost
         */
        void send(VoteReply reply);

        /**
         * A lease holder released its lease, so this process's candidate may start an election.
         *
         * @param duty the role
         */
        void leaseReleased(String duty);
    }

    /** The state of the vote for one role. */
    private static final class Vote {
        private long highestToken;
        private long persistedToken;
        private long releasedToken;
        /** The candidate that the vote is granted to; null if there is none. */
        private String grantedTo;

        private double expiresAtMs;

        private boolean bindsToAnother(String candidate, double nowMs) {
            return isBinding(nowMs) && !grantedTo.equals(candidate);
        }

        private boolean isBinding(double nowMs) {
            return grantedTo != null && nowMs < expiresAtMs;
        }
    }

    /**
     * The backoff after a failed write, as a fraction of the lease. During the backoff the voter grants no token that
     * must be persisted, and the disk may recover.
     */
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
     * Creates a voter at the start of a process.
     *
     * @param identity the identity that was generated for its disk (invariant 4)
     * @param leaseMs how long a vote binds the voter
     * @param abstainsUntilMs the time before which the voter grants nothing: one lease after the start, or 0 if it
     *        can't have voted before (invariant 3)
     * @param persistedTokens the highest persisted token of each role
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
     * Sets the generations of the voter sets that this process knows to be chosen or has accepted (invariant 8). To be
     * called before the process sends its acceptance of a newer set, because from then on the voter rejects candidates
     * that count votes by an older set. An accepted set may be replaced by one of an older generation; in this case it
     * was never chosen.
     *
     * @param nowMs the time by the voter's monotonic clock
     * @param chosen the generation of the newest voter set that is known to be chosen
     * @param accepted the generation of the most recently accepted voter set, which may or may not be chosen
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
     * Processes a candidate's request, and replies to it unless it is a withdrawal or a release.
     *
     * @param nowMs the time by the voter's monotonic clock
     * @param request the request; a request to another identity gets a reply, but neither binds nor frees the voter
     * @param effects carries out the resulting actions
     */
    public void onVoteRequest(double nowMs, VoteRequest request, Effects effects) {
        Vote vote = vote(request.duty());
        if (!request.voterIdentity().equals(identity)) {
            rejectForWrongIdentity(nowMs, request, vote, effects);
            return;
        }
        updateVoterSet(nowMs, request.voterSetGeneration(), acceptedGeneration); // candidates use chosen sets only
        switch (request.kind()) {
            case PROBE -> reply(nowMs, request, vote, verdictOnProbe(nowMs, request, vote), effects);
            case REQUEST_VOTE -> grantOrReply(nowMs, request, vote, verdictOnVote(nowMs, request, vote), effects);
            case RENEW -> grantOrReply(nowMs, request, vote, verdictOnRenewal(nowMs, request, vote), effects);
            case WITHDRAW -> revoke(request, vote);
            case RELEASE -> release(request, vote, effects);
        }
    }

    /**
     * To be called when the token has been persisted: later replies under it are sent without a write.
     *
     * @param request the request that was passed to {@link Effects#persistToken}
     */
    public void onTokenPersisted(VoteRequest request) {
        Vote vote = vote(request.duty());
        vote.persistedToken = Math.max(vote.persistedToken, request.fencingToken());
    }

    /**
     * To be called when the token could not be persisted. The vote is not granted, and the voter replies so that the
     * candidate need not wait for the timeout. The token is not granted to another candidate either, because the
     * failed write may have reached the disk.
     *
     * @param nowMs the time by the voter's monotonic clock
     * @param request the request that was passed to {@link Effects#persistToken}
     * @param effects carries out the resulting actions
     */
    public void onPersistFailed(double nowMs, VoteRequest request, Effects effects) {
        Vote vote = vote(request.duty());
        persistBackoffUntilMs = nowMs + leaseMs * PERSIST_BACKOFF_FRACTION;
        if (isGrantedTo(request, vote)) {
            vote.grantedTo = null;
        }
        reply(nowMs, request, vote, Verdict.ABSTAINED, effects);
    }

    /**
     * Replies to a request for the vote of another disk. This disk must not grant it, but without a reply the candidate
     * would wait until the timeout.
     */
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

    /** Renewals are granted while new lease holders are excluded: a change of the voter set must not end the lease. */
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

    /**
     * Only the candidate that won a token sends renewals for it. A voter that no longer knows to which candidate it
     * granted the token may therefore grant them.
     */
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
     * Only the candidate that won a token releases it. The release is therefore recorded even by a voter that did not
     * vote for the candidate, so that requests of the former lease holder that arrive later do not bind the vote.
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

    /**
     * Returns the state for a reply. No other candidate is granted the vote during the remaining time. While the voter
     * abstains after a restart, it does not know which candidate it had granted the vote to.
     */
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
