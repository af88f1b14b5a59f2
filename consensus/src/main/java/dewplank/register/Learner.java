package dewplank.register;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The learner of one process: the newest value known to be chosen, the newest ballot seen accepted beyond it, and the
 * fetch of a value that is announced but not present here. {@link Register} calls it on its own thread. Ballot,
 * revision, generation and configuration version grow together along the chosen values: invariant 1 in {@code
 * docs/register.md}.
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

    /** The newest value known to be chosen; null before the first. */
    RegisterValue chosenValue() {
        return chosenValue;
    }

    /** The acceptors of the newest chosen value, or the initial ones. */
    AcceptorSet acceptors() {
        return chosenValue == null ? initialAcceptors : chosenValue.acceptors();
    }

    /** Replaces the acceptors before the first chosen value; of no effect after it. */
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

    /** The newest accepted ballot seen that is not known to be chosen, or {@link Ballot#NONE}. */
    Ballot unconfirmedBallot() {
        return newestAccepted.isAfter(chosenBallot) ? newestAccepted : Ballot.NONE;
    }

    /** The acceptors of the newest unconfirmed value seen; empty where there is none, or only its ballot was seen. */
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
     * Records a ballot seen accepted.
     *
     * @param acceptors the acceptors of its value; null where the message left the value out
     */
    void observeAccepted(Ballot ballot, AcceptorSet acceptors) {
        observeRound(ballot);
        if (ballot.isAfter(newestAccepted)) {
            newestAccepted = ballot;
            newestAcceptedSet = acceptors;
        }
    }

    /** Records a value known to be chosen at this ballot, stores it, and reports it to the caller if it is new. */
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

    /** Handles an announcement that a ballot is chosen: fetches its value from the sender unless accepted here. */
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
     * Handles the report to a fetch. If it included a value, what was announced meanwhile is fetched next. If not, the
     * sender has forgotten what it announced, and a further query at once would loop.
     */
    void handleFetchReport(double nowMs, boolean isValueIncluded, Register.Effects<?> effects) {
        fetchStartedAtMs = Double.NEGATIVE_INFINITY;
        if (isValueIncluded && newestAnnounced.isAfter(chosenBallot)) {
            fetch(nowMs, effects);
        }
    }

    /** Starts a fetch; one is in flight at a time: invariant 9 in {@code docs/register.md}. */
    private void fetch(double nowMs, Register.Effects<?> effects) {
        fetchStartedAtMs = nowMs;
        effects.send(
                lastAnnouncer,
                new StatusQuery(
                        self.address(),
                        self.identity(),
                        RegisterMessage.ANY_IDENTITY,
                        RequestIds.FETCH,
                        chosenBallot,
                        true));
    }
}
