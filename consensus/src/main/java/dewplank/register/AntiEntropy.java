package dewplank.register;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Periodic anti-entropy: queries the status of all acceptors, announces the newest chosen value to those that lack it,
 * and derives from the same reports when a quorum last replied. {@link Register} calls it on its own thread.
 *
 * @param <A> the result of the callers' changes
 */
final class AntiEntropy<A> {
    /** The minimum interval between two runs, as a fraction of the period. */
    private static final double FIXED_PERIOD_FRACTION = 0.75;

    /** The maximum random addition to the interval, as a fraction of the period; keeps processes from synchronising. */
    private static final double JITTER_FRACTION = 0.5;

    private final Register.Settings settings;
    private final AcceptorId self;
    private final Learner learner;
    private final RoundCompleter<A> roundCompleter;
    private final QueryIds queryIds;
    private final RandomGenerator random;
    private final Set<AcceptorId> reporters = new HashSet<>();
    private Set<AcceptorId> queried = Set.of();
    private Set<AcceptorId> endedAtQuery = Set.of();
    private long queryId = QueryIds.FETCH;
    private double queriedAtMs;
    private double nextRunAtMs;
    private double lastQuorumAtMs = Double.NEGATIVE_INFINITY;
    private Ballot newestReported = Ballot.NONE;
    private Ballot newestReportedByQuorum = Ballot.NONE;
    private long lastGeneration;

    AntiEntropy(
            Register.Settings settings,
            AcceptorId self,
            Learner learner,
            Proposer<A> proposer,
            QueryIds queryIds,
            RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.learner = learner;
        this.roundCompleter = new RoundCompleter<>(settings, learner, proposer, random);
        this.queryIds = queryIds;
        this.random = random;
        this.nextRunAtMs = Double.NEGATIVE_INFINITY;
    }

    /** The start time of the last run to which a quorum replied; negative infinity before the first. */
    double lastQuorumAtMs() {
        return lastQuorumAtMs;
    }

    /**
     * The start time of the last run to which a quorum replied, if no ballot reported in it is newer than the newest
     * ballot that this process knows to be chosen; otherwise negative infinity. Invariant 8 in {@code
     * docs/register.md}.
     */
    double lastCurrentAtMs() {
        return newestReportedByQuorum.isAfter(learner.chosenBallot()) ? Double.NEGATIVE_INFINITY : lastQuorumAtMs;
    }

    /**
     * Starts a run when the interval has elapsed, and at the first tick with a new acceptor set, so that a joining
     * acceptor that missed the value receives it immediately. A joining acceptor receives the value within the time to
     * the next tick and two message delays, or within one period and three delays if all those messages are lost.
     *
     * @return whether a run was started
     */
    boolean tick(double nowMs, Register.Effects<A> effects) {
        roundCompleter.tick(nowMs, effects);
        long generation = learner.acceptors().generation();
        if (nowMs < nextRunAtMs && generation == lastGeneration) {
            return false;
        }
        lastGeneration = generation;
        nextRunAtMs = nowMs
                + settings.antiEntropyPeriodMs() * (FIXED_PERIOD_FRACTION + JITTER_FRACTION * random.nextDouble());
        queryAll(nowMs, effects);
        return true;
    }

    void handleReport(StatusReport report, Register.Effects<A> effects) {
        boolean isAcceptor = learner.acceptors().all().contains(report.senderId());
        if (isAcceptor && learner.chosenBallot().isAfter(report.chosenBallot())) {
            announceChosenTo(report, effects);
        }
        if (report.queryId() != queryId) {
            return;
        }
        markEndedPredecessors(report.senderId());
        reporters.add(report.senderId());
        newestReported = newer(newestReported, newer(report.acceptedBallot(), report.chosenBallot()));
        if (learner.acceptors().isQuorum(reporters, endedAtQuery)) {
            lastQuorumAtMs = queriedAtMs;
            newestReportedByQuorum = newestReported;
        }
    }

    /**
     * Marks a volatile acceptor as ended if a process with another identity replies to this query from its address. The
     * acceptor was alive before the query was sent, the sender of the report was alive afterwards, and incarnations at
     * one address do not overlap.
     */
    private void markEndedPredecessors(AcceptorId reporter) {
        for (AcceptorId acceptor : queried) {
            boolean isSuccessor = acceptor.address().equals(reporter.address()) && !acceptor.equals(reporter);
            if (isSuccessor && acceptor.isVolatile()) {
                learner.markEnded(acceptor);
            }
        }
    }

    private void announceChosenTo(StatusReport report, Register.Effects<A> effects) {
        effects.send(
                report.senderAddress(),
                new Chosen(
                        self.address(),
                        self.identity(),
                        report.senderIdentity(),
                        learner.chosenBallot(),
                        learner.chosenValue().revision()));
    }

    private static Ballot newer(Ballot one, Ballot other) {
        return one.isAfter(other) ? one : other;
    }

    private void queryAll(double nowMs, Register.Effects<A> effects) {
        queryId = queryIds.next();
        queriedAtMs = nowMs;
        reporters.clear();
        endedAtQuery = learner.endedAcceptors();
        newestReported = Ballot.NONE;
        Set<AcceptorId> recipients = new LinkedHashSet<>(learner.acceptors().all());
        learner.unconfirmedAcceptors().ifPresent(acceptors -> recipients.addAll(acceptors.all()));
        queried = recipients;
        for (AcceptorId recipient : recipients) {
            effects.send(
                    recipient.address(),
                    new StatusQuery(
                            self.address(),
                            self.identity(),
                            RegisterMessage.ANY_IDENTITY,
                            queryId,
                            learner.chosenBallot(),
                            false));
        }
    }
}
