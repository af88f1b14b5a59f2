package dewplank.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.DoubleSupplier;
import dewplank.duty.VoteRequest.Kind;

/**
 * One control sidecar's candidacy for one duty. While another holds the duty it probes about once a lease, which binds
 * nobody and writes nothing; once a majority is free it asks for votes under a number above all it has seen. It holds
 * the duty by its own steady clock, from the moment it sent the request that won, for a lease less a margin; a holder
 * that was frozen so finds its lease lapsed and must win anew, under a new number.
 *
 * <p>The list of voters changes by one voter at a time and not again within two leases, and a majority of the voters
 * knows of a list before anyone counts by it: so majorities by which leases stand always meet.
 */
public final class Candidate {
    /** Numbers for each list of voters: a ballot every quarter of a second takes three days to use them up. */
    private static final long NUMBERS_PER_LIST = 1 << 20;

    private enum State { WAITING, PROBING, ASKING, HOLDING, STOPPED }

    private final String duty;
    private final String name;
    private final DutyTiming timing;
    private final DoubleSupplier random;
    private final Deque<Ballot> ballots = new ArrayDeque<>();

    private List<String> voters = List.of();
    private long votersVersion;
    private State state = State.WAITING;
    private double wakeAt;
    private int failures;
    private long round;
    private long highestSeen;
    private long number;
    private double wonAt;
    private double heldUntil;

    /**
     * A candidacy at the start of a process.
     *
     * @param duty the duty
     * @param name the candidate's name, another one in each life of its process
     * @param timing the times
     * @param random gives numbers from 0 up to 1
     * @param now the time by the candidate's steady clock
     */
    public Candidate(String duty, String name, DutyTiming timing, DoubleSupplier random, double now) {
        this.duty = duty;
        this.name = name;
        this.timing = timing;
        this.random = random;
        this.wakeAt = now + jitter();
    }

    /**
     * Takes the list of voters in force.
     *
     * @param version the list's version: a small count of the changes, as it goes into the numbers
     * @param names the voters' names
     */
    public void voters(long version, List<String> names) {
        if (version >= votersVersion) {
            votersVersion = version;
            voters = List.copyOf(names);
        }
    }

    /** When {@link #tick} is due next. */
    public double wakeAt() {
        return state == State.HOLDING ? Math.min(wakeAt, heldUntil) : wakeAt;
    }

    /**
     * Does what is due.
     *
     * @param now the time by the candidate's steady clock
     * @param out takes what is to be done
     */
    public void tick(double now, CandidateOutput out) {
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
    public void received(double now, VoteReply reply, CandidateOutput out) {
        noticeLapse(now, out);
        if (!reply.duty().equals(duty) || !reply.candidate().equals(name)) {
            return;
        }
        highestSeen = Math.max(highestSeen, reply.number());
        Ballot ballot = ballot(reply.round());
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
    public void vacated(double now) {
        if (state == State.WAITING) {
            wakeAt = Math.min(wakeAt, now + jitter());
        }
    }

    /**
     * Lays the duty down, where it is held, and stands for it no more.
     *
     * @param now the time by the candidate's steady clock
     * @param out takes what is to be done
     */
    public void release(double now, CandidateOutput out) {
        noticeLapse(now, out);
        if (state == State.HOLDING) {
            leave(now, State.STOPPED, out);
            sendAll(request(Kind.RELEASE, number), out);
        } else if (state == State.ASKING) {
            withdraw(ballots.getLast(), out);
        }
        ballots.clear();
        state = State.STOPPED;
        wakeAt = Double.POSITIVE_INFINITY;
    }

    /**
     * Whether the duty is held: to be asked immediately before each act that rests on it.
     *
     * @param now the time by the candidate's steady clock
     */
    public boolean holds(double now) {
        return state == State.HOLDING && now < heldUntil;
    }

    /** The number under which the duty is or was last held; 0 where it never was. */
    public long fencingNumber() {
        return number;
    }

    /** When the duty was won: whoever held it before had laid it down, or let it lapse, by then. */
    public double wonAt() {
        return wonAt;
    }

    private void noticeLapse(double now, CandidateOutput out) {
        if (state == State.HOLDING && now >= heldUntil) {
            leave(now, State.WAITING, out);
        }
    }

    private void leave(double now, State next, CandidateOutput out) {
        state = next;
        ballots.clear();
        wakeAt = now + jitter();
        out.lost(duty, number);
    }

    private void start(double now, State next, Kind kind, long proposed, CandidateOutput out) {
        state = next;
        ballots.clear();
        wakeAt = now + timing.ballotMs();
        send(now, kind, proposed, out);
    }

    private void renew(double now, CandidateOutput out) {
        ballots.removeIf(ballot -> now >= ballot.sentAt() + timing.holdMs());
        wakeAt = now + timing.renewalMs();
        send(now, Kind.RENEW, number, out);
    }

    private void send(double now, Kind kind, long proposed, CandidateOutput out) {
        VoteRequest request = request(kind, proposed);
        ballots.add(new Ballot(request, now));
        sendAll(request, out);
    }

    private VoteRequest request(Kind kind, long proposed) {
        return new VoteRequest(kind, duty, name, ++round, proposed, votersVersion);
    }

    private void sendAll(VoteRequest request, CandidateOutput out) {
        for (String voter : voters) {
            out.send(voter, request);
        }
    }

    private void count(double now, Ballot ballot, CandidateOutput out) {
        if (ballot.isWon(voters)) {
            majority(now, ballot, out);
        } else if (state != State.HOLDING && ballot.isLost(voters)) {
            fail(now, out);
        }
    }

    private void majority(double now, Ballot ballot, CandidateOutput out) {
        if (state == State.PROBING) {
            highestSeen = nextNumber();
            start(now, State.ASKING, Kind.ASK, highestSeen, out);
        } else if (state == State.ASKING && now < ballot.sentAt() + timing.holdMs()) {
            win(now, ballot, out);
        } else if (state == State.HOLDING) {
            heldUntil = Math.max(heldUntil, ballot.sentAt() + timing.holdMs());
        }
    }

    /**
     * Above all that was seen or asked for, as a late withdrawal of one ballot must not undo the votes of another, and
     * above all that was won by earlier lists, which these voters may not know.
     */
    private long nextNumber() {
        return Math.max(highestSeen, votersVersion * NUMBERS_PER_LIST) + 1;
    }

    private void win(double now, Ballot ballot, CandidateOutput out) {
        state = State.HOLDING;
        failures = 0;
        number = ballot.request().number();
        wonAt = now;
        heldUntil = ballot.sentAt() + timing.holdMs();
        wakeAt = ballot.sentAt() + timing.renewalMs();
        out.won(duty, number);
    }

    /**
     * Gives the round up. After a probe the next try waits until a majority may be free. Votes that were asked for go
     * back; who took the others may be giving them back too, so only the delay parts the two.
     */
    private void fail(double now, CandidateOutput out) {
        Ballot ballot = ballots.getLast();
        double boundMs = 0;
        if (state == State.ASKING) {
            withdraw(ballot, out);
        } else {
            boundMs = ballot.majorityBoundMs(voters);
        }
        failures = boundMs > 0 ? 0 : failures + 1;
        ballots.clear();
        state = State.WAITING;
        wakeAt = now + boundMs + jitter();
    }

    private void withdraw(Ballot ballot, CandidateOutput out) {
        VoteRequest request = request(Kind.WITHDRAW, ballot.request().number());
        for (String voter : voters) {
            if (!ballot.isDenied(voter)) {
                out.send(voter, request);
            }
        }
    }

    private Ballot ballot(long wanted) {
        for (Ballot ballot : ballots) {
            if (ballot.request().round() == wanted) {
                return ballot;
            }
        }
        return null;
    }

    private double jitter() {
        return random.getAsDouble() * timing.windowMs(failures);
    }
}
