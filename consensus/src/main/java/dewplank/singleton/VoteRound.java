package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The replies to one round of a candidate's requests, counted by the set of voters that was in force when it began. */
final class VoteRound {
    private final AcceptorSet voters;
    private final long round;
    private final long number;
    private final double sentAt;
    private final Map<String, VoteReply> replies = new HashMap<>();

    /** A round that was sent to these voters at the given time. */
    VoteRound(AcceptorSet voters, long round, long number, double sentAt) {
        this.voters = voters;
        this.round = round;
        this.number = number;
        this.sentAt = sentAt;
    }

    /** The generation of the voters. */
    long generation() {
        return voters.generation();
    }

    /** Who was asked. */
    List<AcceptorId> voters() {
        return voters.all();
    }

    long round() {
        return round;
    }

    /** The number that was asked for. */
    long number() {
        return number;
    }

    /** When it was sent, from when votes are counted. */
    double sentAt() {
        return sentAt;
    }

    /** Takes a reply; the first for each identity that was asked counts. */
    void record(VoteReply reply) {
        replies.putIfAbsent(reply.requestedIdentity(), reply);
    }

    /** Whether a majority of the voters granted; of both, while the set is joint. */
    boolean isWon() {
        return voters.isQuorum(granting(false));
    }

    /** Whether no majority can come any more, whatever the voters that are silent yet will say. */
    boolean isLost() {
        return !voters.isQuorum(granting(true));
    }

    private Set<AcceptorId> granting(boolean withSilent) {
        Set<AcceptorId> granting = new HashSet<>();
        for (AcceptorId voter : voters.all()) {
            VoteReply reply = replies.get(voter.identity());
            if (reply == null ? withSilent : reply.grants()) {
                granting.add(voter);
            }
        }
        return granting;
    }

    /** Whether the voter refused, and so is not bound by this round. */
    boolean isDenied(AcceptorId voter) {
        VoteReply reply = replies.get(voter.identity());
        return reply != null && !reply.grants();
    }

    /** How long until a majority may be free, by what the voters said; those that were silent count as free. */
    double majorityBoundMs() {
        return Math.max(majorityBoundMs(voters.members()), majorityBoundMs(voters.joining()));
    }

    private double majorityBoundMs(List<AcceptorId> part) {
        if (part.isEmpty()) {
            return 0;
        }
        double[] bound = new double[part.size()];
        for (int index = 0; index < bound.length; index++) {
            AcceptorId voter = part.get(index);
            bound[index] = isDenied(voter) ? replies.get(voter.identity()).remainingMs() : 0;
        }
        Arrays.sort(bound);
        return bound[bound.length / 2];
    }
}
