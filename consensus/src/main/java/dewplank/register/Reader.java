package dewplank.register;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Linearizable reads in one message round trip. The result is the newest value that this process knows to be chosen, if
 * a quorum that is queried after the start of the read has accepted nothing newer. Otherwise the read runs a full
 * ballot, which completes the ballot in progress. Invariant 7 in {@code docs/register.md}. {@link Register} calls it on
 * its own thread.
 *
 * @param <A> the result of the callers' changes
 */
final class Reader<A> {
    private static final class Read {
        private final long requestId;
        private final long queryId;
        private final double startedAtMs;
        private final double deadlineMs;
        private final Set<AcceptorId> endedAtStart;
        private final Set<AcceptorId> reporters = new HashSet<>();

        Read(long requestId, long queryId, Set<AcceptorId> ended, double startedAtMs, double deadlineMs) {
            this.requestId = requestId;
            this.queryId = queryId;
            this.endedAtStart = ended;
            this.startedAtMs = startedAtMs;
            this.deadlineMs = deadlineMs;
        }
    }

    private final Register.Settings settings;
    private final AcceptorId self;
    private final Learner learner;
    private final Proposer<A> proposer;
    private final QueryIds queryIds;
    private final List<Read> reads = new ArrayList<>();

    Reader(Register.Settings settings, AcceptorId self, Learner learner, Proposer<A> proposer, QueryIds queryIds) {
        this.settings = settings;
        this.self = self;
        this.learner = learner;
        this.proposer = proposer;
        this.queryIds = queryIds;
    }

    /** The number of reads that wait for reports; reads passed on to the proposer are counted there. */
    int pendingReads() {
        return reads.size();
    }

    void start(double nowMs, long requestId, double deadlineMs, Register.Effects<A> effects) {
        Read read = new Read(requestId, queryIds.next(), learner.endedAcceptors(), nowMs, deadlineMs);
        reads.add(read);
        for (AcceptorId acceptor : learner.acceptors().all()) {
            effects.send(
                    acceptor.address(),
                    new StatusQuery(
                            self.address(),
                            self.identity(),
                            RegisterMessage.ANY_IDENTITY,
                            read.queryId,
                            learner.chosenBallot(),
                            true));
        }
    }

    void handleReport(double nowMs, StatusReport report, Register.Effects<A> effects) {
        Iterator<Read> iterator = reads.iterator();
        while (iterator.hasNext()) {
            Read read = iterator.next();
            if (read.queryId == report.queryId()) {
                iterator.remove();
                countReport(nowMs, read, report, effects);
                return;
            }
        }
    }

    /** Passes reads that have waited for the round timeout, or are past their deadline, to the proposer. */
    void tick(double nowMs, Register.Effects<A> effects) {
        List<Read> overdue = new ArrayList<>();
        for (Read read : reads) {
            if (nowMs - read.startedAtMs >= settings.roundTimeoutMs() || nowMs >= read.deadlineMs) {
                overdue.add(read);
            }
        }
        reads.removeAll(overdue);
        for (Read read : overdue) {
            readByBallot(nowMs, read, effects);
        }
    }

    private void countReport(double nowMs, Read read, StatusReport report, Register.Effects<A> effects) {
        if (report.acceptedBallot().isAfter(learner.chosenBallot())) {
            readByBallot(nowMs, read, effects);
            return;
        }
        read.reporters.add(report.senderId());
        boolean isQuorum = learner.acceptors().isQuorum(read.reporters, read.endedAtStart);
        if (!isQuorum) {
            reads.add(read);
        } else if (learner.chosenValue() == null) {
            readByBallot(nowMs, read, effects);
        } else {
            effects.completed(
                    read.requestId, new Outcome.Confirmed<>(learner.chosenValue(), new RequestResult.None<>(), false));
        }
    }

    private void readByBallot(double nowMs, Read read, Register.Effects<A> effects) {
        proposer.add(nowMs, new ReadTask<>(read.requestId, read.deadlineMs), effects);
    }
}
