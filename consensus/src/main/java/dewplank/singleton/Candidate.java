package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.singleton.VoteRequest.Kind;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * One control sidecar's candidacy for one duty. While another holds the duty it probes about once a lease, which binds
 * nobody and writes nothing; once a majority is free it asks for votes under a number above all it has seen. It holds
 * the duty by its own steady clock, from the moment it sent the request that won, for a lease less a margin; a holder
 * that was frozen so finds its lease lapsed and must win anew, under a new number.
 *
 * <p>The voters are the register's acceptors, named by the identity of their disk, and votes are counted by the newest
 * set known to be chosen, as a change of the register is: majorities of sets that follow each other always meet. Sets
 * further apart need not. Their leases are kept apart by the voters, which give no vote to a new holder for a lease
 * after they learn of a set (see {@link LeaseVoter}), and by two rules here. A vote counts only within {@link
 * LeaseTiming#ballotMs} of the request. And a lease that was last renewed by an older set is renewed by a newer one
 * only if there are as many milliseconds left of it: so an ask under the older set, sent before that change was chosen,
 * has ended before the votes that bind the older set to the holder lapse.
 */
public final class Candidate {
    /** What a candidate wants done. */
    public interface Effects {
        /**
         * Send a request to a voter, which may be this sidecar's own.
         *
         * @param voter where the voter is and the identity that the request is meant for
         * @param request the request
         */
        void send(AcceptorId voter, VoteRequest request);

        /**
         * The duty is held from now on.
         *
         * @param duty the duty
         * @param number the fencing number
         */
        void leaseAcquired(String duty, long fencingToken);

        /**
         * The duty is held no more.
         *
         * @param duty the duty
         * @param number the fencing number under which it was held
         */
        void leaseLost(String duty, long fencingToken);
    }

    /** Numbers for each set of voters: a ballot every quarter of a second takes three days to use them up. */
    private static final long NUMBERS_PER_SET = 1 << 20;

    private enum State {
        WAITING,
        PROBING,
        ASKING,
        HOLDING,
        STOPPED
    }

    private final String duty;
    private final String name;
    private final LeaseTiming timing;
    private final DoubleSupplier random;
    private final Deque<VoteRound> ballots = new ArrayDeque<>();

    private AcceptorSet voters = AcceptorSet.of(List.of());
    private State state = State.WAITING;
    private double wakeAt;
    private int failures;
    private long round;
    private long highestSeen;
    private long number;
    private double wonAt;
    private double heldUntil;
    private long heldGeneration;
    private double pausedUntil = Double.NEGATIVE_INFINITY;

    /**
     * A candidacy at the start of a process.
     *
     * @param duty the duty
     * @param name the candidate's name, another one in each life of its process
     * @param timing the times
     * @param random gives numbers from 0 up to 1
     * @param now the time by the candidate's steady clock
     */
    public Candidate(String duty, String name, LeaseTiming timing, DoubleSupplier random, double now) {
        this.duty = duty;
        this.name = name;
        this.timing = timing;
        this.random = random;
        this.wakeAt = now + jitter();
    }

    /**
     * Takes the newest set of voters known to be chosen; a holder renews by it at once.
     *
     * @param now the time by the candidate's steady clock
     * @param chosen the set
     */
    public void updateVoterSet(double now, AcceptorSet chosen) {
        boolean newer = chosen.generation() > voters.generation();
        if (newer || voters.all().isEmpty()) {
            voters = chosen;
        }
        if (newer && state == State.HOLDING) {
            wakeAt = Math.min(wakeAt, now);
        }
    }

    /** When {@link #tick} is due next. */
    public double nextTickAtMs() {
        return state == State.HOLDING ? Math.min(wakeAt, heldUntil) : wakeAt;
    }

    /**
     * Does what is due.
     *
     * @param now the time by the candidate's steady clock
     * @param out takes what is to be done
     */
    public void tick(double now, Effects out) {
        noticeLapse(now, out);
        if (now < wakeAt) {
            return;
        }
        switch (state) {
            case WAITING -> start(now, State.PROBING, Kind.PROBE, highestSeen, out);
            case PROBING, ASKING -> fail(now, out);
            case HOLDING -> renew(now, out);
            case STOPPED -> wakeAt = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Takes a voter's reply.
     *
     * @param now the time by the candidate's steady clock
     * @param reply the reply
     * @param out takes what is to be done
     */
    public void onVoteReply(double now, VoteReply reply, Effects out) {
        noticeLapse(now, out);
        if (!reply.duty().equals(duty) || !reply.candidate().equals(name)) {
            return;
        }
        highestSeen = Math.max(highestSeen, reply.highestToken());
        VoteRound ballot = ballot(reply.round());
        if (ballot != null) {
            ballot.record(reply);
            count(now, ballot, out);
        }
    }

    /**
     * A holder laid the duty down: a candidate that waits tries after a short delay.
     *
     * @param now the time by the candidate's steady clock
     */
    public void onLeaseReleased(double now) {
        if (state == State.WAITING && now >= pausedUntil) {
            wakeAt = Math.min(wakeAt, now + jitter());
        }
    }

    /**
     * Lays the duty down, where it is held, and leaves it to the others for a while: this sidecar can't do it.
     *
     * @param now the time by the candidate's steady clock
     * @param backoffMs how long it does not stand for the duty
     * @param out takes what is to be done
     */
    public void stepDown(double now, double backoffMs, Effects out) {
        noticeLapse(now, out);
        if (state == State.STOPPED) {
            return;
        }
        pausedUntil = now + backoffMs;
        resign(now, State.WAITING, out);
        ballots.clear();
        state = State.WAITING;
        wakeAt = pausedUntil + jitter();
    }

    /**
     * Lays the duty down, where it is held, and stands for it no more.
     *
     * @param now the time by the candidate's steady clock
     * @param out takes what is to be done
     */
    public void shutDown(double now, Effects out) {
        noticeLapse(now, out);
        resign(now, State.STOPPED, out);
        ballots.clear();
        state = State.STOPPED;
        wakeAt = Double.POSITIVE_INFINITY;
    }

    /**
     * Whether the duty is held: to be asked immediately before each act that rests on it.
     *
     * @param now the time by the candidate's steady clock
     */
    public boolean isLeaseHolder(double now) {
        return state == State.HOLDING && now < heldUntil;
    }

    /** The number under which the duty is or was last held; 0 where it never was. */
    public long fencingToken() {
        return number;
    }

    /** When the duty was won: whoever held it before had laid it down, or let it lapse, by then. */
    public double leaseAcquiredAtMs() {
        return wonAt;
    }

    private void resign(double now, State next, Effects out) {
        if (state == State.HOLDING) {
            leave(now, next, out);
        } else if (state == State.ASKING) {
            withdraw(ballots.getLast(), out);
        }
    }

    private void noticeLapse(double now, Effects out) {
        if (state == State.HOLDING && now >= heldUntil) {
            leave(now, State.WAITING, out);
        }
    }

    /** A holder that hears no voter any more may still bind them by its renewals: it tells them that it is over. */
    private void leave(double now, State next, Effects out) {
        state = next;
        ballots.clear();
        wakeAt = now + jitter();
        out.leaseLost(duty, number);
        sendAll(voters.all(), Kind.RELEASE, number, out);
    }

    private void start(double now, State next, Kind kind, long proposed, Effects out) {
        state = next;
        ballots.clear();
        wakeAt = now + timing.ballotMs();
        send(now, kind, proposed, out);
    }

    private void renew(double now, Effects out) {
        ballots.removeIf(ballot -> now >= ballot.sentAt() + timing.holdMs());
        wakeAt = now + timing.renewalMs();
        send(now, Kind.RENEW, number, out);
    }

    private void send(double now, Kind kind, long proposed, Effects out) {
        round++;
        ballots.add(new VoteRound(voters, round, proposed, now));
        sendAll(voters.all(), kind, proposed, out);
    }

    private void sendAll(List<AcceptorId> to, Kind kind, long proposed, Effects out) {
        for (AcceptorId voter : to) {
            out.send(voter, new VoteRequest(kind, duty, name, voter.identity(), round, proposed, voters.generation()));
        }
    }

    private void count(double now, VoteRound ballot, Effects out) {
        if (ballot.isWon()) {
            majority(now, ballot, out);
        } else if (state != State.HOLDING && ballot.isLost()) {
            fail(now, out);
        }
    }

    private void majority(double now, VoteRound ballot, Effects out) {
        if (state == State.PROBING) {
            highestSeen = nextNumber();
            start(now, State.ASKING, Kind.REQUEST_VOTE, highestSeen, out);
        } else if (state == State.ASKING && now < ballot.sentAt() + timing.ballotMs()) {
            win(now, ballot, out);
        } else if (state == State.HOLDING && mayExtend(ballot)) {
            heldUntil = Math.max(heldUntil, ballot.sentAt() + timing.holdMs());
            heldGeneration = Math.max(heldGeneration, ballot.generation());
        }
    }

    private boolean mayExtend(VoteRound ballot) {
        return ballot.generation() <= heldGeneration || ballot.sentAt() <= heldUntil - timing.ballotMs();
    }

    /**
     * Above all that was seen or asked for, as a late withdrawal of one ballot must not undo the votes of another, and
     * above all that was won by earlier sets, which these voters may not know.
     */
    private long nextNumber() {
        return Math.max(highestSeen, voters.generation() * NUMBERS_PER_SET) + 1;
    }

    private void win(double now, VoteRound ballot, Effects out) {
        state = State.HOLDING;
        failures = 0;
        number = ballot.number();
        wonAt = now;
        heldUntil = ballot.sentAt() + timing.holdMs();
        heldGeneration = ballot.generation();
        wakeAt = ballot.sentAt() + timing.renewalMs();
        out.leaseAcquired(duty, number);
    }

    /**
     * Gives the round up. After a probe the next try waits until a majority may be free. Votes that were asked for go
     * back; who took the others may be giving them back too, so only the delay parts the two.
     */
    private void fail(double now, Effects out) {
        VoteRound ballot = ballots.getLast();
        double boundMs = 0;
        if (state == State.ASKING) {
            withdraw(ballot, out);
        } else {
            boundMs = ballot.majorityBoundMs();
        }
        failures = boundMs > 0 ? 0 : failures + 1;
        ballots.clear();
        state = State.WAITING;
        wakeAt = now + boundMs + jitter();
    }

    private void withdraw(VoteRound ballot, Effects out) {
        List<AcceptorId> mayHaveGranted = ballot.voters().stream()
                .filter(voter -> !ballot.isDenied(voter))
                .toList();
        sendAll(mayHaveGranted, Kind.WITHDRAW, ballot.number(), out);
    }

    private VoteRound ballot(long wanted) {
        for (VoteRound ballot : ballots) {
            if (ballot.round() == wanted) {
                return ballot;
            }
        }
        return null;
    }

    private double jitter() {
        return random.getAsDouble() * timing.windowMs(failures);
    }
}
