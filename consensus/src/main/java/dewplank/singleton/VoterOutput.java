package dewplank.singleton;

/** What a voter wants done. */
public interface VoterOutput {
    /**
     * Keep the reply's number on disk, and only then tell {@link Voter#persisted} and send the reply. Where it cannot
     * be kept the reply must not be sent and {@link Voter#notPersisted} is told. Numbers of one duty are kept in the
     * order in which they are handed over.
     *
     * @param request the request that the number is promised to
     * @param reply what to send afterwards
     */
    void persist(VoteRequest request, VoteReply reply);

    /**
     * Send a reply.
     *
     * @param reply the reply
     */
    void send(VoteReply reply);

    /**
     * A holder laid the duty down: the sidecar's own candidate may try at once.
     *
     * @param duty the duty
     */
    void vacated(String duty);
}
