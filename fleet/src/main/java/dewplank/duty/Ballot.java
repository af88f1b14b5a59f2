package dewplank.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import dewplank.duty.VoteReply.Verdict;

/** The replies to one round of a candidate's requests. */
final class Ballot {
    private final VoteRequest request;
    private final double sentAt;
    private final Map<String, VoteReply> replies = new HashMap<>();

    /** A round that was sent at the given time. */
    Ballot(VoteRequest request, double sentAt) {
        this.request = request;
        this.sentAt = sentAt;
    }

    /** What was sent. */
    VoteRequest request() {
        return request;
    }

    /** When it was sent, from when votes are counted. */
    double sentAt() {
        return sentAt;
    }

    /** Takes a reply; the first of each voter counts. */
    void record(VoteReply reply) {
        replies.putIfAbsent(reply.voter(), reply);
    }

    /** Whether a majority of the voters granted. */
    boolean isWon(List<String> voters) {
        return count(voters, false) >= majority(voters);
    }

    /** Whether no majority can come any more, whatever the voters that are silent yet will say. */
    boolean isLost(List<String> voters) {
        return count(voters, true) < majority(voters);
    }

    private int count(List<String> voters, boolean withSilent) {
        int count = 0;
        for (String voter : voters) {
            VoteReply reply = replies.get(voter);
            if (reply == null ? withSilent : reply.verdict() == Verdict.GRANTED) {
                count++;
            }
        }
        return count;
    }

    /** Whether the voter refused, and so is not bound by this round. */
    boolean isDenied(String voter) {
        VoteReply reply = replies.get(voter);
        return reply != null && reply.verdict() != Verdict.GRANTED;
    }

    /** How long until a majority may be free, by what the voters said; those that were silent count as free. */
    double majorityBoundMs(List<String> voters) {
        if (voters.isEmpty()) {
            return 0;
        }
        double[] bound = new double[voters.size()];
        for (int index = 0; index < bound.length; index++) {
            String voter = voters.get(index);
            bound[index] = isDenied(voter) ? replies.get(voter).remainingMs() : 0;
        }
        Arrays.sort(bound);
        return bound[majority(voters) - 1];
    }

    private static int majority(List<String> voters) {
        return voters.size() / 2 + 1;
    }
}
