package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One round of a candidate's requests (a probe, a request for votes or a renewal) and the replies to it, counted by the
 * voter set that was current when the round was sent (invariant 7).
 */
final class VoteRound {
    private final AcceptorSet voters;
    private final Set<AcceptorId> terminatedVoters;
    private final long number;
    private final long fencingToken;
    private final double sentAtMs;
    private final Map<String, VoteReply> repliesByIdentity = new HashMap<>();

    /**
     * Creates a round without replies.
     *
     * @param voters the voter set that the requests are sent to
     * @param terminatedVoters voters without a disk that are known to have terminated before the requests are sent
     * @param number the candidate's round number, which the replies repeat
     * @param fencingToken the token in the requests
     * @param sentAtMs when the requests are sent, by the candidate's clock
     */
    VoteRound(AcceptorSet voters, Set<AcceptorId> terminatedVoters, long number, long fencingToken, double sentAtMs) {
        this.terminatedVoters = terminatedVoters;
        this.voters = voters;
        this.number = number;
        this.fencingToken = fencingToken;
        this.sentAtMs = sentAtMs;
    }

    /** The generation of the voter set. */
    long generation() {
        return voters.generation();
    }

    /** All voters that the requests are sent to. */
    List<AcceptorId> voters() {
        return voters.all();
    }

    /** The candidate's round number. */
    long number() {
        return number;
    }

    /** The token in the requests. */
    long fencingToken() {
        return fencingToken;
    }

    /** When the requests were sent; a lease that the votes grant starts then. */
    double sentAtMs() {
        return sentAtMs;
    }

    /** Records a reply; only the first reply for each requested identity counts. */
    void add(VoteReply reply) {
        repliesByIdentity.putIfAbsent(reply.requestedIdentity(), reply);
    }

    /** Whether a quorum of the voters granted the vote: a majority of disks, as {@link AcceptorSet} defines it. */
    boolean isVoteGranted() {
        Set<AcceptorId> granted = new HashSet<>();
        for (AcceptorId voter : voters.all()) {
            VoteReply reply = replyOf(voter);
            if (reply != null && reply.isGranted()) {
                granted.add(voter);
            }
        }
        return voters.isQuorum(granted, terminatedVoters);
    }

    /** Whether a quorum is impossible even if all voters that have not replied yet grant their votes. */
    boolean isVoteRejected() {
        Set<AcceptorId> granting = new HashSet<>();
        for (AcceptorId voter : voters.all()) {
            if (!hasRejected(voter)) {
                granting.add(voter);
            }
        }
        return !voters.isQuorum(granting, terminatedVoters);
    }

    /** Whether the voter replied without granting its vote, so that this round does not bind it. */
    boolean hasRejected(AcceptorId voter) {
        VoteReply reply = replyOf(voter);
        return reply != null && !reply.isGranted();
    }

    /**
     * Milliseconds until a quorum may be free to vote, according to the replies; voters without a reply count as free.
     */
    double quorumFreeInMs() {
        double[] freeInMs =
                voters.all().stream().mapToDouble(this::freeInMs).sorted().toArray();
        for (double waitMs : freeInMs) {
            Set<AcceptorId> free = new HashSet<>();
            for (AcceptorId voter : voters.all()) {
                if (freeInMs(voter) <= waitMs) {
                    free.add(voter);
                }
            }
            if (voters.isQuorum(free, terminatedVoters)) {
                return waitMs;
            }
        }
        return 0;
    }

    private double freeInMs(AcceptorId voter) {
        return hasRejected(voter) ? replyOf(voter).remainingMs() : 0;
    }

    private VoteReply replyOf(AcceptorId voter) {
        return repliesByIdentity.get(voter.identity());
    }
}
