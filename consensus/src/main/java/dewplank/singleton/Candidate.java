package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.singleton.VoteRequest.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * One control plane's candidate for the lease of one singleton role. While the role is vacant, it requests votes from
 * the {@link LeaseVoter}s to become the lease holder; as lease holder, it renews the lease. The leases follow Gray and
 * Cheriton (Leases: an efficient fault-tolerant mechanism for distributed file cache consistency, SOSP 1989). Every
 * lease has a higher fencing token than all earlier leases. {@code docs/control-state.md}, point 6, numbers the
 * invariants that the comments here refer to, and explains why they hold.
 *
 * <p>A state machine that does no I/O: the caller passes in the time, the voters' replies and the voter set, and
 * implements {@link Effects}. Not thread-safe; the control plane calls it on its event loop. Times are in milliseconds
 * of one monotonic clock. Methods throw only on a programming error.
 */
public final class Candidate {
    /** Actions of the candidate; called on the caller's thread, before the candidate's method returns. */
    public interface Effects {
        /**
         * Sends a request to a voter, which may be this process's own voter. The request may be lost. Neither the
         * request nor a reply to it may be delivered before the candidate's method has returned.
         *
         * @param voter the voter's address, and the identity that the request is addressed to
         * @param request the request
         */
        void send(AcceptorId voter, VoteRequest request);

        /**
         * The candidate has become the lease holder.
         *
         * @param duty the role
         * @param fencingToken the token of the lease
         */
        void leaseAcquired(String duty, long fencingToken);

        /**
         * The candidate is no longer the lease holder.
         *
         * @param duty the role
         * @param fencingToken the token of the lease
         */
        void leaseLost(String duty, long fencingToken);
    }

    /** Number of fencing tokens per voter set generation: enough for three days with an election every 250 ms. */
    private static final long TOKENS_PER_GENERATION = 1 << 20;

    private final String duty;
    private final String name;
    private final LeaseTiming timing;
    private final DoubleSupplier random;

    private CandidateState state;
    private AcceptorSet voters = AcceptorSet.of(List.of());
    private Set<AcceptorId> terminatedVoters = Set.of();
    private int failedElections;
    private long roundNumber;
    private long highestToken;
    private long fencingToken;
    private double leaseAcquiredAtMs;
    private double leaseReleasedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a candidate at the start of a process; it begins as a follower.
     *
     * @param duty the role
     * @param name the candidate's name, which differs in each incarnation of its process
     * @param timing the lease and election times
     * @param random returns random numbers from 0 (inclusive) to 1 (exclusive)
     * @param nowMs the time by the candidate's monotonic clock
     */
    public Candidate(String duty, String name, LeaseTiming timing, DoubleSupplier random, double nowMs) {
        this.duty = duty;
        this.name = name;
        this.timing = timing;
        this.random = random;
        state = new FollowerState(nowMs + drawElectionDelayMs());
    }

    /**
     * Sets the newest voter set that is known to be chosen, or the initial set, whose members may change within its
     * generation. If the set has a newer generation, a lease holder renews its lease at the next tick.
     *
     * @param nowMs the time by the candidate's monotonic clock
     * @param chosen the voter set; ignored if its generation is older than that of the current set
     * @param terminated voters without a disk that are known to have terminated; later rounds exclude them from quorums
     */
    public void updateVoterSet(double nowMs, AcceptorSet chosen, Set<AcceptorId> terminated) {
        boolean newer = chosen.generation() > voters.generation();
        if (chosen.generation() >= voters.generation()) {
            voters = chosen;
        }
        terminatedVoters = terminated;
        if (newer && state instanceof LeaseHolderState lease) {
            lease.renewNoLaterThan(nowMs);
        }
    }

    /** When {@link #tick} is due next, by the candidate's monotonic clock; infinity after a shutdown. */
    public double nextTickAtMs() {
        return state.nextTickAtMs();
    }

    /**
     * Starts an election or a renewal that is due, and handles timeouts. To be called at {@link #nextTickAtMs}; an
     * earlier call does nothing.
     *
     * @param nowMs the time by the candidate's monotonic clock
     * @param effects carries out the resulting actions
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
     * Processes a voter's reply. Replies to another role, candidate, incarnation or round are ignored.
     *
     * @param nowMs the time by the candidate's monotonic clock
     * @param reply the reply
     * @param effects carries out the resulting actions
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
     * To be called when this process's voter receives the release of a lease: starts the next election after a short
     * delay.
     *
     * @param nowMs the time by the candidate's monotonic clock
     */
    public void onLeaseReleased(double nowMs) {
        leaseReleasedAtMs = nowMs;
        if (state instanceof FollowerState follower && follower.isEligible(nowMs)) {
            follower.electNoLaterThan(nowMs + drawElectionDelayMs());
        }
    }

    /**
     * Releases the lease if this candidate has it, and starts no election during the backoff, so that another process
     * can take over work that this process can't do.
     *
     * @param nowMs the time by the candidate's monotonic clock
     * @param backoffMs how long the candidate starts no election
     * @param effects carries out the resulting actions
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
     * Releases the lease if this candidate has it, and starts no further election.
     *
     * @param nowMs the time by the candidate's monotonic clock
     * @param effects carries out the resulting actions
     */
    public void shutDown(double nowMs, Effects effects) {
        endExpiredLease(nowMs, effects);
        if (state instanceof LeaseHolderState) {
            drawElectionDelayMs(); // unused; every end of a lease draws one delay, so that a seed stays reproducible
            endLease(new StoppedState(), effects);
            return;
        }
        if (state instanceof RequestingVotesState election) {
            withdraw(election.round(), effects);
        }
        transitionTo(new StoppedState());
    }

    /**
     * Whether the candidate is the lease holder. To be checked immediately before every action that requires the lease
     * (invariant 6).
     *
     * @param nowMs the time by the candidate's monotonic clock
     */
    public boolean isLeaseHolder(double nowMs) {
        return state instanceof LeaseHolderState lease && !lease.isExpired(nowMs);
    }

    /** The fencing token of the current lease, or of the last one; 0 before the first lease. */
    public long fencingToken() {
        return fencingToken;
    }

    /** When the lease was acquired. By then, the previous holder's lease had been released or had expired. */
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
     * Returns a token above all tokens seen or requested so far, so that a delayed withdrawal of one round does not
     * revoke the votes of another. It is also above all tokens that earlier voter sets granted, which the current
     * voters may not know (invariant 10).
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
     * Delays the next election until a majority of the voters may be free. If a majority may be free already, for
     * example after a timeout without replies, the probe counts as a failed election. Shortly after a release of the
     * lease the voters count as free, because a voter may have rejected the probe just before it received the release.
     */
    private void failProbe(double nowMs, VoteRound round) {
        boolean justReleased = nowMs - leaseReleasedAtMs < timing.voteTimeoutMs();
        double quorumFreeInMs = justReleased ? 0 : round.quorumFreeInMs();
        failedElections = quorumFreeInMs > 0 ? 0 : failedElections + 1;
        transitionTo(new FollowerState(nowMs + quorumFreeInMs + drawElectionDelayMs()));
    }

    /**
     * Withdraws the requested votes and waits for a random delay. Another candidate that received the remaining votes
     * may withdraw them at the same time, so only the delay prevents another split vote.
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

    /**
     * Ends the lease and sends its release. The release is also sent after an expiry, because renewals whose replies
     * were lost may still bind voters.
     */
    private void endLease(CandidateState next, Effects effects) {
        transitionTo(next);
        effects.leaseLost(duty, fencingToken);
        sendAll(voters.all(), Kind.RELEASE, fencingToken, effects);
    }

    // ---- requests -------------------------------------------------------------------------------------

    private VoteRound nextRound(double nowMs, long token) {
        roundNumber++;
        return new VoteRound(voters, terminatedVoters, roundNumber, token, nowMs);
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
