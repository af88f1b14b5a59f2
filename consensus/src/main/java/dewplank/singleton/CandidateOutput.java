package dewplank.singleton;

import dewplank.register.AcceptorId;

/** What a candidate wants done. */
public interface CandidateOutput {
    /**
     * Send a request to a voter, which may be this sidecar's own.
     *
     * @param voter where the voter is and the identity that the request is meant for
     * @param request the request
     */
    void send(AcceptorId voter, VoteRequest request);

    /**
     * The duty is held from now on.
     *
     * @param duty the duty
     * @param number the fencing number
     */
    void won(String duty, long number);

    /**
     * The duty is held no more.
     *
     * @param duty the duty
     * @param number the fencing number under which it was held
     */
    void lost(String duty, long number);
}
