package dewplank.register;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Linearizable reads. When a quorum, asked after the read began, has accepted nothing newer than the value known to be
 * chosen here, that value is the newest. Otherwise a round finishes whatever is under way.
 */
final class Reader {
    private static final class Read {
        private final long request;
        private final long question;
        private final double startedAt;
        private final double deadline;
        private final Set<AcceptorId> answered = new HashSet<>();

        Read(long request, long question, double startedAt, double deadline) {
            this.request = request;
            this.question = question;
            this.startedAt = startedAt;
            this.deadline = deadline;
        }
    }

    private final Register.Settings settings;
    private final AcceptorId self;
    private final Learner learner;
    private final Proposer proposer;
    private final RequestIds questions;
    private final List<Read> reads = new ArrayList<>();

    Reader(Register.Settings settings, AcceptorId self, Learner learner, Proposer proposer, RequestIds questions) {
        this.settings = settings;
        this.self = self;
        this.learner = learner;
        this.proposer = proposer;
        this.questions = questions;
    }

    int pending() {
        return reads.size();
    }

    void start(double now, long request, double deadline, Register.Effects out) {
        Read read = new Read(request, questions.next(), now, deadline);
        reads.add(read);
        for (AcceptorId acceptor : learner.acceptors().all()) {
            out.send(
                    acceptor.address(),
                    new StatusQuery(
                            self.address(),
                            self.identity(),
                            RegisterMessage.ANY,
                            read.question,
                            learner.chosenBallot(),
                            true));
        }
    }

    void reported(double now, StatusReport report, Register.Effects out) {
        Iterator<Read> iterator = reads.iterator();
        while (iterator.hasNext()) {
            Read read = iterator.next();
            if (read.question == report.question()) {
                iterator.remove();
                advance(now, read, report, out);
                return;
            }
        }
    }

    void tick(double now, Register.Effects out) {
        List<Read> late = new ArrayList<>();
        for (Read read : reads) {
            if (now - read.startedAt >= settings.roundTimeoutMs() || now >= read.deadline) {
                late.add(read);
            }
        }
        reads.removeAll(late);
        for (Read read : late) {
            readByRound(now, read, out);
        }
    }

    private void advance(double now, Read read, StatusReport report, Register.Effects out) {
        if (report.accepted().isAfter(learner.chosenBallot())) {
            readByRound(now, read, out);
            return;
        }
        read.answered.add(report.from());
        boolean answered = learner.acceptors().isQuorum(read.answered);
        if (!answered) {
            reads.add(read);
        } else if (learner.chosen() == null) {
            readByRound(now, read, out);
        } else {
            out.completed(read.request, new Outcome.Confirmed(learner.chosen(), null, false));
        }
    }

    private void readByRound(double now, Read read, Register.Effects out) {
        proposer.add(now, ChangeTask.reading(read.request, read.deadline), out);
    }
}
