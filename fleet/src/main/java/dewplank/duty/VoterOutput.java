package dewplank.duty;

/** What a voter wants done. */
public interface VoterOutput {
    /**
     * Keep the number on disk, and only then send the reply. Where it cannot be kept the reply must not be sent.
     * Numbers of one duty are kept in the order in which they are handed over.
     *
     * @param duty the duty
     * @param number the highest number promised for it
     * @param reply what to send afterwards
     */
    void persist(String duty, long number, VoteReply reply);

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
