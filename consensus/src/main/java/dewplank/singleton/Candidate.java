package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.singleton.VoteRequest.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * One control plane's candidacy for one singleton role: elects itself lease holder among the {@link LeaseVoter}s where
 * the role is vacant, and renews the lease while it has it. Leases are those of Gray and Cheriton (Leases: an efficient
 * fault-tolerant mechanism for distributed file cache consistency, SOSP 1989); every lease has a fencing token above
 * all earlier ones. {@code docs/control-state.md}, point 6, numbers the invariants that the comments here refer to, and
 * argues for them.
 *
 * <p>A state machine without input or output: the caller hands in the time, the voters' replies and the voters, and
 * does what {@link Effects} say. Not thread-safe; the control plane calls it on its event loop. Times are in
 * milliseconds of one steady clock, which must never run backwards. No method throws but for a fault in the program.
 */
public final class Candidate {
    /** What the candidate wants done; called on the caller's thread, before the method that was called returns. */
    public interface Effects {
        /**
         * Sends a request to a voter, which may be this process's own. The request may be lost; it must not be
         * delivered, nor a reply to it, before the candidate's method has returned.
         *
         * @param voter where the voter is, and the identity that the request is meant for
         * @param request the request
         */
        void send(AcceptorId voter, VoteRequest request);

        /**
         * The candidate is lease holder from now on.
         *
         * @param duty the role
         * @param fencingToken the token of the lease
         */
        void leaseAcquired(String duty, long fencingToken);

        /**
         * The candidate is lease holder no more.
         *
         * @param duty the role
         * @param fencingToken the token of the lease
         */
        void leaseLost(String duty, long fencingToken);
    }

    /** Tokens for each set of voters: an election every quarter of a second takes three days to use them up. */
    private static final long TOKENS_PER_GENERATION = 1 << 20;

    private final String duty;
    private final String name;
    private final LeaseTiming timing;
    private final DoubleSupplier random;

    private CandidateState state;
    private AcceptorSet voters = AcceptorSet.of(List.of());
    private Set<AcceptorId> ended = Set.of();
    private int failedElections;
    private long roundNumber;
    private long highestToken;
    private long fencingToken;
    private double leaseAcquiredAtMs;
    private double leaseReleasedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * A candidacy at the start of a process.
     *
     * @param duty the role
     * @param name the candidate's name, another one in each incarnation of its process
     * @param timing the times
     * @param random draws numbers from 0 up to 1
     * @param nowMs the time by the candidate's steady clock
     */
    public Candidate(String duty, String name, LeaseTiming timing, DoubleSupplier random, double nowMs) {
        this.duty = duty;
        this.name = name;
        this.timing = timing;
        this.random = random;
        state = new FollowerState(nowMs + drawElectionDelayMs());
    }

    /**
     * Takes the newest set of voters known to be chosen, or the initial set, whose members may change within its
     * generation; a lease holder renews by a newer one at the next tick.
     *
     * @param nowMs the time by the candidate's steady clock
     * @param chosen the set; an older one than the last is ignored
     * @param endedVoters volatile voters that are known to have ended; rounds that are sent from now on leave them out
     */
    public void updateVoterSet(double nowMs, AcceptorSet chosen, Set<AcceptorId> endedVoters) {
        boolean newer = chosen.generation() > voters.generation();
        if (chosen.generation() >= voters.generation()) {
            voters = chosen;
        }
        ended = endedVoters;
        if (newer && state instanceof LeaseHolderState lease) {
            lease.renewNoLaterThan(nowMs);
        }
    }

    /** When {@link #tick} is due next, by the candidate's steady clock; infinity after a shutdown. */
    public double nextTickAtMs() {
        return state.nextTickAtMs();
    }

    /**
     * Does what is due. To be called at {@link #nextTickAtMs}; an earlier call does nothing.
     *
     * @param nowMs the time by the candidate's steady clock
     * @param effects takes what is to be done
     */
    public void tick(double nowMs, Effects effects) {
        endExpiredLease(nowMs, effects);
        if (nowMs < state.nextTickAtMs()) {
            return;
        }
        if (state instanceof FollowerState) {
            probe(nowMs, effects);
        } else if (state instanceof ProbingState probing) {
            failProbe(nowMs, probing.round());
        } else if (state instanceof RequestingVotesState election) {
            failElection(nowMs, election.round(), effects);
        } else if (state instanceof LeaseHolderState lease) {
            renew(nowMs, lease, effects);
        }
    }

    /**
     * Takes a voter's reply; one to another role, candidate, incarnation or round is ignored.
     *
     * @param nowMs the time by the candidate's steady clock
     * @param reply the reply
     * @param effects takes what is to be done
     */
    public void onVoteReply(double nowMs, VoteReply reply, Effects effects) {
        endExpiredLease(nowMs, effects);
        if (!reply.duty().equals(duty) || !reply.candidate().equals(name)) {
            return;
        }
        highestToken = Math.max(highestToken, reply.highestToken());
        if (state instanceof ProbingState probing) {
            countProbe(nowMs, probing.round(), reply, effects);
        } else if (state instanceof RequestingVotesState election) {
            countVotes(nowMs, election, reply, effects);
        } else if (state instanceof LeaseHolderState lease) {
            lease.onVoteReply(reply);
        }
    }

    /**
     * The voter of this process learned that a holder released the lease: the next election begins after a short delay.
     *
     * @param nowMs the time by the candidate's steady clock
     */
    public void onLeaseReleased(double nowMs) {
        leaseReleasedAtMs = nowMs;
        if (state instanceof FollowerState follower && follower.isEligible(nowMs)) {
            follower.electNoLaterThan(nowMs + drawElectionDelayMs());
        }
    }

    /**
     * Releases the lease, where there is one, and takes part in no election for a while: another process may be able to
     * do what this one can't.
     *
     * @param nowMs the time by the candidate's steady clock
     * @param backoffMs how long it takes part in no election
     * @param effects takes what is to be done
     */
    public void stepDown(double nowMs, double backoffMs, Effects effects) {
        endExpiredLease(nowMs, effects);
        if (state instanceof StoppedState) {
            return;
        }
        double eligibleAtMs = nowMs + backoffMs;
        if (state instanceof LeaseHolderState) {
            endLease(new FollowerState(nowMs + drawElectionDelayMs(), eligibleAtMs), effects);
        } else if (state instanceof RequestingVotesState election) {
            withdraw(election.round(), effects);
        }
        transitionTo(new FollowerState(eligibleAtMs + drawElectionDelayMs(), eligibleAtMs));
    }

    /**
     * Releases the lease, where there is one, and takes part in no election any more.
     *
     * @param nowMs the time by the candidate's steady clock
     * @param effects takes what is to be done
     */
    public void shutDown(double nowMs, Effects effects) {
        endExpiredLease(nowMs, effects);
        if (state instanceof LeaseHolderState) {
            drawElectionDelayMs(); // not used; a seed gives the same history only if each end of a lease draws one
            endLease(new StoppedState(), effects);
            return;
        }
        if (state instanceof RequestingVotesState election) {
            withdraw(election.round(), effects);
        }
        transitionTo(new StoppedState());
    }

    /**
     * Whether the candidate is lease holder: to be checked immediately before each act that rests on it (invariant 6).
     *
     * @param nowMs the time by the candidate's steady clock
     */
    public boolean isLeaseHolder(double nowMs) {
        return state instanceof LeaseHolderState lease && !lease.isExpired(nowMs);
    }

    /** The fencing token of the present or the last lease; 0 where there never was one. */
    public long fencingToken() {
        return fencingToken;
    }

    /** When the lease was acquired: its previous holder had released it, or let it expire, by then. */
    public double leaseAcquiredAtMs() {
        return leaseAcquiredAtMs;
    }

    private void transitionTo(CandidateState next) {
        if (!state.allowsTransitionTo(next)) {
            throw new IllegalStateException(
                    "no transition from " + state.getClass().getSimpleName() + " to "
                            + next.getClass().getSimpleName());
        }
        state = next;
    }

    // ---- election -------------------------------------------------------------------------------------

    private void probe(double nowMs, Effects effects) {
        VoteRound round = nextRound(nowMs, highestToken);
        transitionTo(new ProbingState(round, nowMs + timing.voteTimeoutMs()));
        sendAll(voters.all(), Kind.PROBE, round.fencingToken(), effects);
    }

    private void countProbe(double nowMs, VoteRound round, VoteReply reply, Effects effects) {
        if (reply.round() != round.number()) {
            return;
        }
        round.add(reply);
        if (round.isVoteGranted()) {
            requestVotes(nowMs, effects);
        } else if (round.isVoteRejected()) {
            failProbe(nowMs, round);
        }
    }

    private void requestVotes(double nowMs, Effects effects) {
        highestToken = nextToken();
        VoteRound round = nextRound(nowMs, highestToken);
        transitionTo(new RequestingVotesState(round, nowMs + timing.voteTimeoutMs()));
        sendAll(voters.all(), Kind.REQUEST_VOTE, round.fencingToken(), effects);
    }

    /**
     * Above all that was seen or requested, as a late withdrawal of one round must not undo the votes of another, and
     * above all that earlier sets granted, which these voters may not know (invariant 10).
     */
    private long nextToken() {
        return Math.max(highestToken, voters.generation() * TOKENS_PER_GENERATION) + 1;
    }

    private void countVotes(double nowMs, RequestingVotesState election, VoteReply reply, Effects effects) {
        VoteRound round = election.round();
        if (reply.round() != round.number()) {
            return;
        }
        round.add(reply);
        if (round.isVoteGranted()) {
            if (!election.isTimedOut(nowMs)) {
                acquireLease(nowMs, round, effects);
            }
        } else if (round.isVoteRejected()) {
            failElection(nowMs, round, effects);
        }
    }

    /**
     * The next election waits until a majority may be free; a time-out, with nobody bound, counts as a failure. A
     * voter that rejected the probe may have done so just before the release of the lease reached it too, so this
     * wait is left out shortly after a release.
     */
    private void failProbe(double nowMs, VoteRound round) {
        boolean justReleased = nowMs - leaseReleasedAtMs < timing.voteTimeoutMs();
        double quorumFreeInMs = justReleased ? 0 : round.quorumFreeInMs();
        failedElections = quorumFreeInMs > 0 ? 0 : failedElections + 1;
        transitionTo(new FollowerState(nowMs + quorumFreeInMs + drawElectionDelayMs()));
    }

    /**
     * Withdraws the votes that were requested. The candidate that got the others may be withdrawing them too, so only
     * the delay parts the two.
     */
    private void failElection(double nowMs, VoteRound round, Effects effects) {
        withdraw(round, effects);
        failedElections++;
        transitionTo(new FollowerState(nowMs + drawElectionDelayMs()));
    }

    private void withdraw(VoteRound round, Effects effects) {
        List<AcceptorId> mayHaveGranted = new ArrayList<>();
        for (AcceptorId voter : round.voters()) {
            if (!round.hasRejected(voter)) {
                mayHaveGranted.add(voter);
            }
        }
        sendAll(mayHaveGranted, Kind.WITHDRAW, round.fencingToken(), effects);
    }

    // ---- lease ----------------------------------------------------------------------------------------

    private void acquireLease(double nowMs, VoteRound round, Effects effects) {
        transitionTo(new LeaseHolderState(timing, round));
        failedElections = 0;
        fencingToken = round.fencingToken();
        leaseAcquiredAtMs = nowMs;
        effects.leaseAcquired(duty, fencingToken);
    }

    private void renew(double nowMs, LeaseHolderState lease, Effects effects) {
        lease.addRenewal(nextRound(nowMs, fencingToken), nowMs);
        sendAll(voters.all(), Kind.RENEW, fencingToken, effects);
    }

    private void endExpiredLease(double nowMs, Effects effects) {
        if (state instanceof LeaseHolderState lease && lease.isExpired(nowMs)) {
            endLease(new FollowerState(nowMs + drawElectionDelayMs()), effects);
        }
    }

    /** The release goes out after an expiry too: a holder that receives nothing may still bind voters by renewals. */
    private void endLease(CandidateState next, Effects effects) {
        transitionTo(next);
        effects.leaseLost(duty, fencingToken);
        sendAll(voters.all(), Kind.RELEASE, fencingToken, effects);
    }

    // ---- requests -------------------------------------------------------------------------------------

    private VoteRound nextRound(double nowMs, long token) {
        roundNumber++;
        return new VoteRound(voters, ended, roundNumber, token, nowMs);
    }

    private void sendAll(List<AcceptorId> to, Kind kind, long token, Effects effects) {
        for (AcceptorId voter : to) {
            VoteRequest request =
                    new VoteRequest(kind, duty, name, voter.identity(), roundNumber, token, voters.generation());
            effects.send(voter, request);
        }
    }

    private double drawElectionDelayMs() {
        return random.getAsDouble() * timing.maxElectionDelayMs(failedElections);
    }
}
