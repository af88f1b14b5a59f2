package dewplank.singleton;

import dewplank.singleton.VoteReply.Verdict;
import dewplank.singleton.VoteReply.VoteState;
import java.util.HashMap;
import java.util.Map;

/**
 * One control sidecar's votes. For each duty it is bound to one candidate at a time, for the length of a lease, and
 * never votes twice under one number. Numbers outlive a restart, leases do not: a voter that starts over abstains for
 * one lease, after which every vote it gave before has lapsed. An empty disk is another voter: it has another identity,
 * and votes only where it is asked by that one, which no candidate does before the set of voters includes it.
 *
 * <p>From the moment it learns of a newer set of voters, chosen or only accepted, a voter gives no vote to a new holder
 * for one lease, and none at all to those that count by an older set. Majorities of sets that are two changes apart
 * need not meet; this is what keeps their leases apart. The second set can be proposed only once the first is chosen,
 * and from then on no majority of the oldest set renews by it: the last lease by that set has lapsed a lease later. The
 * holder itself may renew meanwhile, so that a change of the set does not interrupt it.
 */
public final class LeaseVoter {
    /** What a voter wants done. */
    public interface Effects {
        /**
         * Keep the reply's number on disk, and only then tell {@link LeaseVoter#onTokenPersisted} and send the reply.
         * Where it cannot be kept the reply must not be sent and {@link LeaseVoter#onPersistFailed} is told. Numbers of
         * one duty are kept in the order in which they are handed over.
         *
         * @param request the request that the number is promised to
         * @param reply what to send afterwards
         */
        void persistToken(VoteRequest request, VoteReply reply);

        /**
         * Send a reply.
         *
         * @param reply the reply
         */
        void send(VoteReply reply);

        /**
         * A holder laid the duty down: the sidecar's own candidate may try at once.
         *
         * @param duty the duty
         */
        void leaseReleased(String duty);
    }

    /** What stands for one duty. */
    private static final class Vote {
        private long number;
        private long savedNumber;
        private long releasedNumber;
        private String holder;
        private double until;

        private boolean bindsToAnother(String candidate, double now) {
            return holder != null && now < until && !holder.equals(candidate);
        }
    }

    /** Part of a lease for which a voter asks for no vote to be kept after a write failed; the disk may come back. */
    private static final double RETRY_PART = 1.0 / 4;

    private final String identity;
    private final double leaseMs;
    private final double silentUntil;
    private final Map<String, Vote> votes = new HashMap<>();

    private long chosenVersion;
    private long acceptedVersion;
    private double quietUntil = Double.NEGATIVE_INFINITY;
    private double diskFailsUntil = Double.NEGATIVE_INFINITY;

    /**
     * A voter at the start of a process.
     *
     * @param identity the identity drawn with its disk
     * @param leaseMs how long a vote binds it
     * @param silentUntil the time before which it grants nothing: one lease after the start, or 0 where it cannot
     *        have voted before
     * @param highestNumbers the numbers that it kept, by duty
     */
    public LeaseVoter(String identity, double leaseMs, double silentUntil, Map<String, Long> highestNumbers) {
        this.identity = identity;
        this.leaseMs = leaseMs;
        this.silentUntil = silentUntil;
        for (Map.Entry<String, Long> kept : highestNumbers.entrySet()) {
            vote(kept.getKey()).number = kept.getValue();
            vote(kept.getKey()).savedNumber = kept.getValue();
        }
    }

    /**
     * Takes what this sidecar knows of the sets of voters. It must be told before the acceptance of a newer set leaves
     * the sidecar: candidates that count by an older set are refused from then on. What was only accepted may give way
     * to an older generation, which then was never chosen.
     *
     * @param now the time by the voter's steady clock
     * @param chosen the generation of the newest set known to be chosen
     * @param accepted the generation of the set accepted last, whether or not it is known to be chosen
     */
    public void updateVoterSet(double now, long chosen, long accepted) {
        long before = version();
        chosenVersion = Math.max(chosenVersion, chosen);
        acceptedVersion = accepted;
        if (version() > before) {
            quietUntil = now + leaseMs;
        }
    }

    private long version() {
        return Math.max(chosenVersion, acceptedVersion);
    }

    /**
     * Takes a request.
     *
     * @param now the time by the voter's steady clock
     * @param request the request
     * @param out takes what is to be done
     */
    public void onVoteRequest(double now, VoteRequest request, Effects out) {
        Vote vote = vote(request.duty());
        if (!request.voterIdentity().equals(identity)) {
            answerForAnother(now, request, vote, out);
            return;
        }
        updateVoterSet(now, request.voterSetGeneration(), acceptedVersion); // candidates count by chosen sets only
        switch (request.kind()) {
            case PROBE -> reply(now, request, vote, probed(now, request, vote), out);
            case REQUEST_VOTE -> grant(now, request, vote, asked(now, request, vote), out);
            case RENEW -> grant(now, request, vote, renewed(now, request, vote), out);
            case WITHDRAW -> takeBack(request, vote);
            case RELEASE -> release(request, vote, out);
        }
    }

    /** The number is on disk, so that votes under it need not wait for the disk any more. */
    public void onTokenPersisted(VoteRequest request) {
        Vote vote = vote(request.duty());
        vote.savedNumber = Math.max(vote.savedNumber, request.fencingToken());
    }

    /**
     * The number could not be kept: the vote is not given, and the candidate is told, so that it does not wait. The
     * number stays promised, as the disk may hold it after all.
     *
     * @param now the time by the voter's steady clock
     * @param request the request that the number was promised to
     * @param out takes what is to be done
     */
    public void onPersistFailed(double now, VoteRequest request, Effects out) {
        Vote vote = vote(request.duty());
        diskFailsUntil = now + leaseMs * RETRY_PART;
        if (request.candidate().equals(vote.holder) && request.fencingToken() == vote.number) {
            vote.holder = null;
        }
        reply(now, request, vote, Verdict.ABSTAINED, out);
    }

    /** A disk that is not a member must neither vote nor leave the candidate waiting. */
    private void answerForAnother(double now, VoteRequest request, Vote vote, Effects out) {
        switch (request.kind()) {
            case PROBE, REQUEST_VOTE, RENEW -> reply(now, request, vote, Verdict.WRONG_IDENTITY, out);
            case WITHDRAW, RELEASE -> {}
        }
    }

    private Verdict probed(double now, VoteRequest request, Vote vote) {
        if (mayNotVote(now, request, vote)) {
            return now < silentUntil ? Verdict.ABSTAINED : Verdict.REJECTED;
        }
        return now < abstainsUntil() ? Verdict.ABSTAINED : Verdict.GRANTED;
    }

    private Verdict asked(double now, VoteRequest request, Vote vote) {
        if (now < silentUntil) {
            return Verdict.ABSTAINED;
        }
        if (request.fencingToken() <= vote.number || mayNotVote(now, request, vote)) {
            return Verdict.REJECTED;
        }
        return now < abstainsUntil() ? Verdict.ABSTAINED : Verdict.GRANTED;
    }

    private Verdict renewed(double now, VoteRequest request, Vote vote) {
        if (now < silentUntil) {
            return Verdict.ABSTAINED;
        }
        if (!mayRenew(request, vote) || mayNotVote(now, request, vote)) {
            return Verdict.REJECTED;
        }
        boolean needsDisk = request.fencingToken() > vote.savedNumber;
        return needsDisk && now < diskFailsUntil ? Verdict.ABSTAINED : Verdict.GRANTED;
    }

    private double abstainsUntil() {
        return Math.max(silentUntil, Math.max(quietUntil, diskFailsUntil));
    }

    private boolean mayNotVote(double now, VoteRequest request, Vote vote) {
        return request.voterSetGeneration() < version() || vote.bindsToAnother(request.candidate(), now);
    }

    /** Only who won a number renews it, so a voter that has forgotten whom it voted for under it may follow. */
    private static boolean mayRenew(VoteRequest request, Vote vote) {
        return request.fencingToken() >= vote.number && request.fencingToken() > vote.releasedNumber;
    }

    private void grant(double now, VoteRequest request, Vote vote, Verdict verdict, Effects out) {
        if (verdict == Verdict.GRANTED) {
            bind(now, request, vote, out);
        } else {
            reply(now, request, vote, verdict, out);
        }
    }

    private void bind(double now, VoteRequest request, Vote vote, Effects out) {
        vote.number = request.fencingToken();
        vote.holder = request.candidate();
        vote.until = now + leaseMs;
        VoteReply reply = new VoteReply(request, identity, Verdict.GRANTED, state(now, vote));
        if (vote.number > vote.savedNumber) {
            out.persistToken(request, reply);
        } else {
            out.send(reply);
        }
    }

    /** Frees the voter of the candidate; whether it was bound to it under that very number. */
    private static boolean takeBack(VoteRequest request, Vote vote) {
        boolean bound = request.candidate().equals(vote.holder) && request.fencingToken() == vote.number;
        if (bound) {
            vote.holder = null;
            vote.releasedNumber = request.fencingToken();
        }
        return bound;
    }

    private static void release(VoteRequest request, Vote vote, Effects out) {
        if (takeBack(request, vote)) {
            out.leaseReleased(request.duty());
        }
    }

    private void reply(double now, VoteRequest request, Vote vote, Verdict verdict, Effects out) {
        out.send(new VoteReply(request, identity, verdict, state(now, vote)));
    }

    /** Nobody else can have the vote before that is over; a voter that started over does not know whom it bound. */
    private VoteState state(double now, Vote vote) {
        if (now < silentUntil) {
            return new VoteState(vote.number, null, silentUntil - now);
        }
        boolean bound = vote.holder != null && now < vote.until;
        double until = bound ? Math.max(vote.until, abstainsUntil()) : abstainsUntil();
        return new VoteState(vote.number, bound ? vote.holder : null, Math.max(0, until - now));
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
