package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The replies to one round of a candidate's requests (a probe, a request for votes or a renewal), counted by the set of
 * voters that was in force when the round was sent (invariant 7).
 */
final class VoteRound {
    private final AcceptorSet voters;
    private final Set<AcceptorId> ended;
    private final long number;
    private final long fencingToken;
    private final double sentAtMs;
    private final Map<String, VoteReply> repliesByIdentity = new HashMap<>();

    /**
     * A round without replies.
     *
     * @param voters the set that the requests go to
     * @param ended volatile voters that are known to have ended before the requests are sent
     * @param number the candidate's number of the round, which replies bring back
     * @param fencingToken the token that the requests name
     * @param sentAtMs when the requests are sent, by the candidate's clock
     */
    VoteRound(AcceptorSet voters, Set<AcceptorId> ended, long number, long fencingToken, double sentAtMs) {
        this.ended = ended;
        this.voters = voters;
        this.number = number;
        this.fencingToken = fencingToken;
        this.sentAtMs = sentAtMs;
    }

    /** The generation of the set of voters. */
    long generation() {
        return voters.generation();
    }

    /** All voters that the requests go to. */
    List<AcceptorId> voters() {
        return voters.all();
    }

    /** The candidate's number of the round. */
    long number() {
        return number;
    }

    /** The token that the requests name. */
    long fencingToken() {
        return fencingToken;
    }

    /** When the requests were sent: votes are counted from then on. */
    double sentAtMs() {
        return sentAtMs;
    }

    /** Takes a reply; the first for each requested identity counts. */
    void add(VoteReply reply) {
        repliesByIdentity.putIfAbsent(reply.requestedIdentity(), reply);
    }

    /** Whether a quorum of the voters granted: a majority of disks, as {@link AcceptorSet} defines it. */
    boolean isVoteGranted() {
        Set<AcceptorId> granted = new HashSet<>();
        for (AcceptorId voter : voters.all()) {
            VoteReply reply = replyOf(voter);
            if (reply != null && reply.isGranted()) {
                granted.add(voter);
            }
        }
        return voters.isQuorum(granted, ended);
    }

    /** Whether no majority can grant any more, whatever the voters that have not replied yet will reply. */
    boolean isVoteRejected() {
        Set<AcceptorId> granting = new HashSet<>();
        for (AcceptorId voter : voters.all()) {
            if (!hasRejected(voter)) {
                granting.add(voter);
            }
        }
        return !voters.isQuorum(granting, ended);
    }

    /** Whether the voter replied and granted nothing, so that this round does not bind it. */
    boolean hasRejected(AcceptorId voter) {
        VoteReply reply = replyOf(voter);
        return reply != null && !reply.isGranted();
    }

    /** In how many milliseconds a quorum may be free, by the replies; voters that have not replied count as free. */
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
            if (voters.isQuorum(free, ended)) {
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
