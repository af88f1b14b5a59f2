package dewplank.register;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Asks all members from time to time how far they are and tells those that lack the newest chosen value.
 */
final class AntiEntropy {
    /** The least part of the period between two sweeps; the rest is drawn, lest all processes sweep together. */
    private static final double STEADY_PART = 0.75;

    /** The part of the period that is drawn. */
    private static final double DRAWN_PART = 0.5;

    private final Register.Settings settings;
    private final AcceptorId self;
    private final Learner learner;
    private final RoundCompleter finisher;
    private final RequestIds questions;
    private final RandomGenerator random;
    private final Set<AcceptorId> answered = new HashSet<>();
    private long question = RequestIds.FETCH;
    private double askedAt;
    private double nextAt;
    private double lastQuorumAt = Double.NEGATIVE_INFINITY;
    private Ballot newestReported = Ballot.NONE;
    private Ballot newestOfQuorum = Ballot.NONE;
    private long sweptGeneration;

    AntiEntropy(
            Register.Settings settings,
            AcceptorId self,
            Learner learner,
            Proposer proposer,
            RequestIds questions,
            RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.learner = learner;
        this.finisher = new RoundCompleter(settings, learner, proposer, random);
        this.questions = questions;
        this.random = random;
        this.nextAt = Double.NEGATIVE_INFINITY;
    }

    /** When the last sweep that a quorum answered was sent. */
    double lastQuorumAt() {
        return lastQuorumAt;
    }

    /**
     * When the last sweep that a quorum answered was sent, if nothing reported in it is newer than what is chosen
     * here; else negative infinity. A quorum that has accepted nothing newer lets nothing newer have been chosen.
     */
    double currentAt() {
        return newestOfQuorum.isAfter(learner.chosenBallot()) ? Double.NEGATIVE_INFINITY : lastQuorumAt;
    }

    /**
     * Sweeps when it is time, and at the first tick after the set of acceptors changed, so that a newcomer that missed
     * the value gets it at once; returns whether it did. A newcomer lacks the value for at most the time to the next
     * tick and two ways, and for one period and three ways when all that is lost.
     */
    boolean tick(double now, Register.Effects out) {
        finisher.tick(now, out);
        long generation = learner.acceptors().generation();
        if (now < nextAt && generation == sweptGeneration) {
            return false;
        }
        sweptGeneration = generation;
        nextAt = now + settings.sweepMs() * (STEADY_PART + DRAWN_PART * random.nextDouble());
        ask(now, out);
        return true;
    }

    void reported(StatusReport report, Register.Effects out) {
        boolean member = learner.acceptors().all().contains(report.from());
        if (member && learner.chosenBallot().isAfter(report.chosen())) {
            out.send(
                    report.sender(),
                    new Chosen(
                            self.address(),
                            self.identity(),
                            report.senderIdentity(),
                            learner.chosenBallot(),
                            learner.chosen().revision()));
        }
        if (report.question() != question) {
            return;
        }
        answered.add(report.from());
        newestReported = newer(newestReported, newer(report.accepted(), report.chosen()));
        if (learner.acceptors().isQuorum(answered)) {
            lastQuorumAt = askedAt;
            newestOfQuorum = newestReported;
        }
    }

    private static Ballot newer(Ballot one, Ballot other) {
        return one.isAfter(other) ? one : other;
    }

    private void ask(double now, Register.Effects out) {
        question = questions.next();
        askedAt = now;
        answered.clear();
        newestReported = Ballot.NONE;
        Set<AcceptorId> members = new LinkedHashSet<>(learner.acceptors().all());
        if (learner.unfinishedAcceptors() != null) {
            members.addAll(learner.unfinishedAcceptors().all());
        }
        for (AcceptorId acceptor : members) {
            out.send(
                    acceptor.address(),
                    new StatusQuery(
                            self.address(),
                            self.identity(),
                            RegisterMessage.ANY,
                            question,
                            learner.chosenBallot(),
                            false));
        }
    }
}
