package dewplank.register;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * One process of the replicated register: acceptor, proposer and learner. Pure steps with the time given; everything
 * it wants done goes to the {@link Effects} handed in. It belongs to one thread. The random generator must differ from
 * life to life of a process: the names of its ballots and questions are drawn from it.
 */
public final class Register {
    /** Requests that may wait or be under way at one process; more only wait out their callers' patience. */
    public static final int MOST_PENDING = 64;

    /** Replacements that may wait besides: one duty holder asks for one at a time, and asks anew when it ends. */
    static final int MOST_REPAIRS = 4;

    /**
     * What does not change during a life.
     *
     * @param address where this process is reached
     * @param initial the acceptors to begin with when nothing is chosen yet; empty where that is not known
     * @param roundTimeoutMs how long a quorum is waited for in one round
     * @param retryMinimumMs the shortest pause before the next round
     * @param retryMaximumMs the longest pause before the next round
     * @param sweepMs the period of the sweeps
     */
    public record Settings(
            String address,
            AcceptorSet initial,
            double roundTimeoutMs,
            double retryMinimumMs,
            double retryMaximumMs,
            double sweepMs) {}

    /** What a step wants done. */
    public interface Effects {
        /** Sends a message, also to the own address; it may be lost, delayed or doubled. */
        void send(String address, RegisterMessage message);

        /** Saves and syncs the state, then calls stored or storeFailed with the ticket; one at a time. */
        void store(long ticket, DurableState state);

        /** A newer chosen value is known; never an older one. */
        void learned(RegisterValue value);

        /** A request ended. */
        void completed(long request, Outcome outcome);
    }

    private final AcceptorId self;
    private final Acceptor voter;
    private final Learner learner;
    private final Proposer proposer;
    private final Reader reader;
    private final AntiEntropy sweep;

    /** A process that begins a life with what its disk holds. */
    public Register(Settings settings, DurableState recovered, RandomGenerator random) {
        Objects.requireNonNull(settings.initial());
        RequestIds questions = new RequestIds(random);
        self = new AcceptorId(settings.address(), recovered.identity());
        voter = new Acceptor(self, recovered);
        learner = new Learner(settings, self, voter);
        proposer = new Proposer(settings, self, learner, random);
        reader = new Reader(settings, self, learner, proposer, questions);
        sweep = new AntiEntropy(settings, self, learner, proposer, questions, random);
    }

    /** Takes a message; one meant for another identity is dropped. */
    public void received(double now, RegisterMessage message, Effects out) {
        boolean named = message.recipientIdentity().equals(self.identity());
        if (!named && !message.recipientIdentity().isEmpty()) {
            return;
        }
        if (message instanceof StatusQuery) {
            report((StatusQuery) message, out);
            learner.hear(now, message, ((StatusQuery) message).chosen(), out); // who asks may know more
        } else if (message instanceof StatusReport) {
            reported(now, (StatusReport) message, out);
        } else if (message instanceof Chosen) {
            learner.hear(now, message, ((Chosen) message).ballot(), out);
        } else if (named) {
            roundMessage(now, message, out);
        }
    }

    /** The store with this ticket is synced. */
    public void stored(double now, long ticket, Effects out) {
        voter.stored(ticket, out);
    }

    /** The store with this ticket failed: its votes are not given. */
    public void storeFailed(double now, long ticket, Effects out) {
        voter.storeFailed(ticket);
    }

    /** Changes the payload by rounds until it is certain or the deadline passes. */
    public void change(double now, long request, Change change, double deadline, Effects out) {
        if (admits(request, out)) {
            proposer.add(now, new ChangeTask(request, change, deadline), out);
        }
    }

    /** Reads the newest chosen value. */
    public void read(double now, long request, double deadline, Effects out) {
        if (admits(request, out)) {
            reader.start(now, request, deadline, out);
        }
    }

    /**
     * Makes the wanted acceptors those that decide, by way of a joint set, if the set in force is still that of the
     * expected generation; confirmed with a {@link Reconfiguration} as its answer.
     */
    public void replaceAcceptors(
            double now, long request, long expectedGeneration, List<AcceptorId> wanted, double deadline, Effects out) {
        if (wanted.isEmpty()) {
            out.completed(request, new Outcome.Unknown("no acceptors wanted"));
        } else if (admits(proposer.pendingRepairs(), MOST_REPAIRS, request, out)) {
            proposer.add(now, new ReconfigureTask(request, expectedGeneration, wanted, deadline), out);
        }
    }

    /** Asks a process that may not be a known acceptor for what is chosen. */
    public void ask(double now, String address, Effects out) {
        out.send(
                address,
                new StatusQuery(
                        self.address(),
                        self.identity(),
                        RegisterMessage.ANY,
                        RequestIds.FETCH,
                        learner.chosenBallot(),
                        true));
    }

    /** Time passes: time-outs, retries, sweeps. */
    public void tick(double now, Effects out) {
        reader.tick(now, out);
        proposer.tick(now, out);
        if (sweep.tick(now, out)) {
            voter.saveChosen(out);
        }
    }

    /** The acceptors of the newest chosen value, or those to begin with. */
    public AcceptorSet acceptors() {
        return learner.acceptors();
    }

    /** The generation of the acceptors in the value accepted last, also when the disk does not hold it yet. */
    public long acceptedGeneration() {
        RegisterValue accepted = voter.current().value();
        return accepted == null ? 0 : accepted.acceptors().generation();
    }

    /** The newest value known to be chosen, or null. */
    public RegisterValue chosen() {
        return learner.chosen();
    }

    /** When the question was sent that a quorum last answered; negative infinity before. */
    public double lastQuorumAt() {
        return Math.max(proposer.lastQuorumAt(), sweep.lastQuorumAt());
    }

    /**
     * Whether the value chosen here was the newest at some time within the last {@code withinMs}: a quorum answered a
     * question sent within that time, and nothing it reported as accepted or chosen is newer than what is chosen here.
     * So a process that hears a quorum but has not caught up is not current, nor is one whose quorum knows of a newer
     * value that is accepted and not yet known to be chosen.
     */
    public boolean current(double now, double withinMs) {
        double since = now - withinMs;
        return proposer.lastChosenAt() >= since || sweep.currentAt() >= since;
    }

    /** Whether this process is one of the acceptors. */
    public boolean isMember() {
        return acceptors().all().contains(self);
    }

    private boolean admits(long request, Effects out) {
        return admits(proposer.pendingOrders() + reader.pending(), MOST_PENDING, request, out);
    }

    private static boolean admits(int pending, int most, long request, Effects out) {
        if (pending < most) {
            return true;
        }
        out.completed(request, new Outcome.Unknown("too many requests are pending"));
        return false;
    }

    private void roundMessage(double now, RegisterMessage message, Effects out) {
        if (message instanceof Prepare) {
            learner.sawRound(((Prepare) message).ballot());
            voter.prepare((Prepare) message, out);
        } else if (message instanceof Accept) {
            learner.sawRound(((Accept) message).ballot());
            voter.accept((Accept) message, out);
        } else if (message instanceof Promise) {
            proposer.promised(now, (Promise) message, out);
        } else if (message instanceof Accepted) {
            proposer.accepted(now, (Accepted) message, out);
        } else if (message instanceof Reject) {
            proposer.refused(now, (Reject) message);
        }
    }

    private void report(StatusQuery query, Effects out) {
        DurableState kept = voter.durable();
        boolean sends = query.fetching() && learner.chosenBallot().isAfter(query.chosen());
        boolean newer = kept.accepted().isAfter(query.chosen());
        out.send(
                query.sender(),
                new StatusReport(
                        self.address(),
                        self.identity(),
                        query.senderIdentity(),
                        query.question(),
                        kept.accepted(),
                        newer ? kept.value().acceptors() : null,
                        learner.chosenBallot(),
                        learner.chosen() == null ? 0 : learner.chosen().revision(),
                        sends ? learner.chosen() : null));
    }

    private void reported(double now, StatusReport report, Effects out) {
        if (report.value() != null) {
            learner.learn(report.chosen(), report.value(), out);
        } else {
            learner.hear(now, report, report.chosen(), out);
        }
        if (report.question() == RequestIds.FETCH) {
            learner.fetched(now, report.value() != null, out);
        }
        learner.sawAccepted(report.accepted(), report.acceptors());
        reader.reported(now, report, out);
        sweep.reported(report, out);
    }
}
