package dewplank.register;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The learner of one process. It tracks the newest value known to be chosen and any newer accepted ballot, and fetches
 * announced values that this process lacks. {@link Register} calls it on its own thread. Ballot, revision, generation
 * and configuration version increase together along the chosen values: invariant 1 in {@code docs/register.md}.
 */
final class Learner {
    private final Register.Settings settings;
    private final AcceptorId self;
    private final Acceptor acceptor;
    private Ballot chosenBallot;
    private RegisterValue chosenValue;
    private Ballot newestAnnounced = Ballot.NONE;
    private String lastAnnouncer;
    private double fetchStartedAtMs = Double.NEGATIVE_INFINITY;
    private Ballot newestAccepted = Ballot.NONE;
    private AcceptorSet newestAcceptedSet;
    private long highestRound;
    private AcceptorSet initialAcceptors;
    private final Set<AcceptorId> endedAcceptors = new HashSet<>();

    Learner(Register.Settings settings, AcceptorId self, Acceptor acceptor) {
        this.settings = settings;
        this.self = self;
        this.acceptor = acceptor;
        this.initialAcceptors = settings.initialAcceptors();
        DurableState recovered = acceptor.durable();
        this.chosenBallot = recovered.chosenBallot();
        this.chosenValue = recovered.chosenValue();
        observeRound(recovered.promisedBallot());
        observeRound(chosenBallot);
        observeAccepted(
                recovered.acceptedBallot(),
                recovered.acceptedValue() == null
                        ? null
                        : recovered.acceptedValue().acceptors());
    }

    Ballot chosenBallot() {
        return chosenBallot;
    }

    /** The newest value known to be chosen; null if there is none. */
    RegisterValue chosenValue() {
        return chosenValue;
    }

    /** The acceptors of the newest value known to be chosen, or the initial acceptors if there is none. */
    AcceptorSet acceptors() {
        return chosenValue == null ? initialAcceptors : chosenValue.acceptors();
    }

    /** Replaces the initial acceptors, which have no effect once a value is known to be chosen. */
    void updateInitialAcceptors(AcceptorSet acceptors) {
        initialAcceptors = acceptors;
    }

    /** Volatile acceptors of this register that are known to have ended. */
    Set<AcceptorId> endedAcceptors() {
        return Set.copyOf(endedAcceptors);
    }

    /** Records that a volatile acceptor has ended. */
    void markEnded(AcceptorId acceptor) {
        endedAcceptors.add(acceptor);
    }

    /** The newest ballot that an acceptor has accepted and that is not known to be chosen, or {@link Ballot#NONE}. */
    Ballot unconfirmedBallot() {
        return newestAccepted.isAfter(chosenBallot) ? newestAccepted : Ballot.NONE;
    }

    /** The acceptors of the value at the unconfirmed ballot; empty if there is none or only the ballot is known. */
    Optional<AcceptorSet> unconfirmedAcceptors() {
        return newestAccepted.isAfter(chosenBallot) ? Optional.ofNullable(newestAcceptedSet) : Optional.empty();
    }

    /** The highest round seen in any ballot. */
    long highestRound() {
        return highestRound;
    }

    void observeRound(Ballot ballot) {
        highestRound = Math.max(highestRound, ballot.round());
    }

    /**
     * Records that an acceptor has accepted a ballot.
     *
     * @param acceptors the acceptors of its value; null if the message omitted them
     */
    void observeAccepted(Ballot ballot, AcceptorSet acceptors) {
        observeRound(ballot);
        if (ballot.isAfter(newestAccepted)) {
            newestAccepted = ballot;
            newestAcceptedSet = acceptors;
        }
    }

    /** Records and stores a value known to be chosen at this ballot, and reports it if its revision is new. */
    void learnChosen(Ballot ballot, RegisterValue value, Register.Effects<?> effects) {
        observeRound(ballot);
        if (!ballot.isAfter(chosenBallot)) {
            return;
        }
        boolean isNewRevision = chosenValue == null || value.revision() > chosenValue.revision();
        chosenBallot = ballot;
        chosenValue = value;
        acceptor.storeChosen(ballot, value, effects);
        if (isNewRevision) {
            effects.learned(value);
        }
    }

    /**
     * Handles an announcement that a ballot is chosen: fetches the value from the sender unless this process has
     * accepted it.
     */
    void handleAnnouncement(double nowMs, String announcer, Ballot ballot, Register.Effects<?> effects) {
        observeRound(ballot);
        if (!ballot.isAfter(chosenBallot)) {
            return;
        }
        DurableState state = acceptor.current();
        if (state.acceptedBallot().equals(ballot)) {
            learnChosen(ballot, state.acceptedValue(), effects);
            return;
        }
        if (ballot.isAfter(newestAnnounced)) {
            newestAnnounced = ballot;
        }
        lastAnnouncer = announcer;
        if (nowMs - fetchStartedAtMs > settings.roundTimeoutMs()) {
            fetch(nowMs, effects);
        }
    }

    /**
     * Handles the report that replies to a fetch. If it included a value, a newer value announced in the meantime is
     * fetched next. If not, the sender has lost the value that it announced, and an immediate further query would loop.
     */
    void handleFetchReport(double nowMs, boolean isValueIncluded, Register.Effects<?> effects) {
        fetchStartedAtMs = Double.NEGATIVE_INFINITY;
        if (isValueIncluded && newestAnnounced.isAfter(chosenBallot)) {
            fetch(nowMs, effects);
        }
    }

    /** Starts a fetch; at most one is in flight: invariant 9 in {@code docs/register.md}. */
    private void fetch(double nowMs, Register.Effects<?> effects) {
        fetchStartedAtMs = nowMs;
        effects.send(
                lastAnnouncer,
                new StatusQuery(
                        self.address(),
                        self.identity(),
                        RegisterMessage.ANY_IDENTITY,
                        QueryIds.FETCH,
                        chosenBallot,
                        true));
    }
}
