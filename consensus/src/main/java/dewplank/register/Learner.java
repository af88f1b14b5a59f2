package dewplank.register;

/**
 * What one process knows to be chosen, and what it has seen accepted beyond that.
 *
 * <p>Chosen values are ordered by ballot, and are told on when their revision is new. Both orders are one: a value is
 * proposed on top of the newest chosen below its ballot, as it is or with the next revision. So is the order of the
 * configurations' versions, since a configuration is only put in place of one with a lower version: along the chain
 * versions grow, each has one content, and one that was refused is on no chosen value, so that another change may use
 * it later.
 */
final class Learner {
    private final Register.Settings settings;
    private final AcceptorId self;
    private final Acceptor voter;
    private Ballot chosenBallot;
    private RegisterValue chosen;
    private Ballot heard = Ballot.NONE;
    private String heardFrom;
    private double fetchedAt = Double.NEGATIVE_INFINITY;
    private Ballot newestAccepted = Ballot.NONE;
    private AcceptorSet newestAcceptors;
    private long highestRound;

    Learner(Register.Settings settings, AcceptorId self, Acceptor voter) {
        this.settings = settings;
        this.self = self;
        this.voter = voter;
        DurableState recovered = voter.durable();
        this.chosenBallot = recovered.chosenBallot();
        this.chosen = recovered.chosen();
        sawRound(recovered.promised());
        sawRound(chosenBallot);
        sawAccepted(
                recovered.accepted(),
                recovered.value() == null ? null : recovered.value().acceptors());
    }

    Ballot chosenBallot() {
        return chosenBallot;
    }

    RegisterValue chosen() {
        return chosen;
    }

    /** The acceptors of the newest chosen value, or those to begin with. */
    AcceptorSet acceptors() {
        return chosen == null ? settings.initial() : chosen.acceptors();
    }

    /** The newest accepted ballot seen that is not known to be chosen, or {@link Ballot#NONE}. */
    Ballot unfinished() {
        return newestAccepted.isAfter(chosenBallot) ? newestAccepted : Ballot.NONE;
    }

    /** The acceptors of the newest unfinished value seen, or null. */
    AcceptorSet unfinishedAcceptors() {
        return newestAccepted.isAfter(chosenBallot) ? newestAcceptors : null;
    }

    /** The highest round seen in any ballot. */
    long highestRound() {
        return highestRound;
    }

    void sawRound(Ballot ballot) {
        highestRound = Math.max(highestRound, ballot.round());
    }

    void sawAccepted(Ballot ballot, AcceptorSet acceptors) {
        sawRound(ballot);
        if (ballot.isAfter(newestAccepted)) {
            newestAccepted = ballot;
            newestAcceptors = acceptors;
        }
    }

    /** Takes a value known to be chosen at this ballot. */
    void learn(Ballot ballot, RegisterValue value, Register.Effects out) {
        sawRound(ballot);
        if (!ballot.isAfter(chosenBallot)) {
            return;
        }
        boolean newer = chosen == null || value.revision() > chosen.revision();
        chosenBallot = ballot;
        chosen = value;
        voter.adopt(ballot, value, out);
        if (newer) {
            out.learned(value);
        }
    }

    /** Takes the news that a ballot is chosen; the value is fetched from the sender unless it was accepted here. */
    void hear(double now, RegisterMessage teller, Ballot ballot, Register.Effects out) {
        sawRound(ballot);
        if (!ballot.isAfter(chosenBallot)) {
            return;
        }
        DurableState accepted = voter.current();
        if (accepted.accepted().equals(ballot)) {
            learn(ballot, accepted.value(), out);
            return;
        }
        if (ballot.isAfter(heard)) {
            heard = ballot;
        }
        heardFrom = teller.sender();
        if (now - fetchedAt > settings.roundTimeoutMs()) {
            fetch(now, out);
        }
    }

    /**
     * A fetch was answered. If that brought a value, what was heard of meanwhile is fetched next; if not, the sender
     * has forgotten what it told, and asking it again at once would go round in circles.
     */
    void fetched(double now, boolean withValue, Register.Effects out) {
        fetchedAt = Double.NEGATIVE_INFINITY;
        if (withValue && heard.isAfter(chosenBallot)) {
            fetch(now, out);
        }
    }

    /**
     * Asks whoever told last. One fetch at a time, so that news which come faster than the value travels do not fill
     * the link with copies of it: each answer is as new as its sender when it is sent. An answer that does not come
     * within the time of a round is not waited for; the next news, at the latest those of the next sweep, fetch anew.
     */
    private void fetch(double now, Register.Effects out) {
        fetchedAt = now;
        out.send(
                heardFrom,
                new StatusQuery(
                        self.address(), self.identity(), RegisterMessage.ANY, RequestIds.FETCH, chosenBallot, true));
    }
}
