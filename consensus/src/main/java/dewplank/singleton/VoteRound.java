package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.Arrays;
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
    private final long number;
    private final long fencingToken;
    private final double sentAtMs;
    private final Map<String, VoteReply> repliesByIdentity = new HashMap<>();

    /**
     * A round without replies.
     *
     * @param voters the set that the requests go to
     * @param number the candidate's number of the round, which replies bring back
     * @param fencingToken the token that the requests name
     * @param sentAtMs when the requests are sent, by the candidate's clock
     */
    VoteRound(AcceptorSet voters, long number, long fencingToken, double sentAtMs) {
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

    /** Whether a majority of the voters granted; of both parts, while the set is joint. */
    boolean isVoteGranted() {
        Set<AcceptorId> granted = new HashSet<>();
        for (AcceptorId voter : voters.all()) {
            VoteReply reply = replyOf(voter);
            if (reply != null && reply.isGranted()) {
                granted.add(voter);
            }
        }
        return voters.isQuorum(granted);
    }

    /** Whether no majority can grant any more, whatever the voters that have not replied yet will reply. */
    boolean isVoteRejected() {
        Set<AcceptorId> granting = new HashSet<>();
        for (AcceptorId voter : voters.all()) {
            if (!hasRejected(voter)) {
                granting.add(voter);
            }
        }
        return !voters.isQuorum(granting);
    }

    /** Whether the voter replied and granted nothing, so that this round does not bind it. */
    boolean hasRejected(AcceptorId voter) {
        VoteReply reply = replyOf(voter);
        return reply != null && !reply.isGranted();
    }

    /** In how many milliseconds a majority may be free, by the replies; voters that have not replied count as free. */
    double majorityFreeInMs() {
        return Math.max(majorityFreeInMs(voters.members()), majorityFreeInMs(voters.joining()));
    }

    private double majorityFreeInMs(List<AcceptorId> members) {
        if (members.isEmpty()) {
            return 0;
        }
        double[] freeInMs = new double[members.size()];
        for (int index = 0; index < freeInMs.length; index++) {
            AcceptorId voter = members.get(index);
            freeInMs[index] = hasRejected(voter) ? replyOf(voter).remainingMs() : 0;
        }
        Arrays.sort(freeInMs);
        return freeInMs[freeInMs.length / 2];
    }

    private VoteReply replyOf(AcceptorId voter) {
        return repliesByIdentity.get(voter.identity());
    }
}
