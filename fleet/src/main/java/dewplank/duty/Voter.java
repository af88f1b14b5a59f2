package dewplank.duty;

import java.util.HashMap;
import java.util.Map;
import dewplank.duty.VoteReply.Standing;
import dewplank.duty.VoteReply.Verdict;

/**
 * One control sidecar's votes. For each duty it is bound to one candidate at a time, for the length of a lease, and
 * never votes twice under one number. Numbers outlive a restart, leases do not: a voter that starts over abstains for
 * one lease, after which every vote it gave before has lapsed.
 *
 * <p>A voter that joins the list of voters starts like one that restarted: silent for a lease, so that votes given
 * under the list before it lapse first.
 */
public final class Voter {
    /** What stands for one duty. */
    private static final class Vote {
        private long number;
        private long releasedNumber;
        private String holder;
        private double until;

        private boolean bindsToAnother(String candidate, double now) {
            return holder != null && now < until && !holder.equals(candidate);
        }
    }

    private final String name;
    private final double leaseMs;
    private final double silentUntil;
    private final Map<String, Vote> votes = new HashMap<>();

    private long votersVersion;

    /**
     * A voter at the start of a process.
     *
     * @param name its name in the list of voters
     * @param leaseMs how long a vote binds it
     * @param silentUntil the time before which it grants nothing: one lease after the start, or 0 where it cannot
     *        have voted before
     * @param highestNumbers the numbers that it kept, by duty
     */
    public Voter(String name, double leaseMs, double silentUntil, Map<String, Long> highestNumbers) {
        this.name = name;
        this.leaseMs = leaseMs;
        this.silentUntil = silentUntil;
        for (Map.Entry<String, Long> kept : highestNumbers.entrySet()) {
            vote(kept.getKey()).number = kept.getValue();
        }
    }

    /**
     * Takes the newest list of voters that this sidecar has accepted, whether or not it is known to be chosen: from
     * then on candidates that count by an older one are refused.
     *
     * @param version the list's version
     */
    public void voters(long version) {
        votersVersion = Math.max(votersVersion, version);
    }

    /**
     * Takes a request.
     *
     * @param now the time by the voter's steady clock
     * @param request the request
     * @param out takes what is to be done
     */
    public void vote(double now, VoteRequest request, VoterOutput out) {
        Vote vote = vote(request.duty());
        switch (request.kind()) {
            case PROBE -> reply(now, request, vote, probed(now, request, vote), out);
            case ASK -> grant(now, request, vote, request.number() > vote.number, out);
            case RENEW -> grant(now, request, vote, mayRenew(request, vote), out);
            case WITHDRAW -> takeBack(request, vote);
            case RELEASE -> release(request, vote, out);
        }
    }

    private Verdict probed(double now, VoteRequest request, Vote vote) {
        if (now < silentUntil) {
            return Verdict.ABSTAINED;
        }
        return mayNotVote(now, request, vote) ? Verdict.REFUSED : Verdict.GRANTED;
    }

    private boolean mayNotVote(double now, VoteRequest request, Vote vote) {
        return request.votersVersion() < votersVersion || vote.bindsToAnother(request.candidate(), now);
    }

    /** Only who won a number renews it, so a voter that has forgotten whom it voted for under it may follow. */
    private static boolean mayRenew(VoteRequest request, Vote vote) {
        return request.number() >= vote.number && request.number() > vote.releasedNumber;
    }

    private void grant(double now, VoteRequest request, Vote vote, boolean numberFits, VoterOutput out) {
        if (now < silentUntil) {
            reply(now, request, vote, Verdict.ABSTAINED, out);
        } else if (!numberFits || mayNotVote(now, request, vote)) {
            reply(now, request, vote, Verdict.REFUSED, out);
        } else {
            bind(now, request, vote, out);
        }
    }

    private void bind(double now, VoteRequest request, Vote vote, VoterOutput out) {
        boolean newNumber = request.number() > vote.number;
        vote.number = request.number();
        vote.holder = request.candidate();
        vote.until = now + leaseMs;
        VoteReply reply = new VoteReply(request, name, Verdict.GRANTED, standing(now, vote));
        if (newNumber) {
            out.persist(request.duty(), vote.number, reply);
        } else {
            out.send(reply);
        }
    }

    /** Frees the voter of the candidate; whether it was bound to it under that very number. */
    private static boolean takeBack(VoteRequest request, Vote vote) {
        boolean bound = request.candidate().equals(vote.holder) && request.number() == vote.number;
        if (bound) {
            vote.holder = null;
            vote.releasedNumber = request.number();
        }
        return bound;
    }

    private static void release(VoteRequest request, Vote vote, VoterOutput out) {
        if (takeBack(request, vote)) {
            out.vacated(request.duty());
        }
    }

    private void reply(double now, VoteRequest request, Vote vote, Verdict verdict, VoterOutput out) {
        out.send(new VoteReply(request, name, verdict, standing(now, vote)));
    }

    private Standing standing(double now, Vote vote) {
        if (now < silentUntil) {
            return new Standing(vote.number, null, silentUntil - now);
        }
        if (vote.holder == null || now >= vote.until) {
            return new Standing(vote.number, null, 0);
        }
        return new Standing(vote.number, vote.holder, vote.until - now);
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
