/**
 * The replicated register that holds the fleet's configuration, by CASPaxos (Rystsov, 2018): every change takes a
 * prepare and an accept phase at a quorum and writes the whole value, so there is no log and no leader. The acceptors
 * are part of the value and are changed by joint consensus.
 *
 * <p>{@link dewplank.register.Register} is the entry point; its acceptor, proposer, learner, reader and anti-entropy
 * are package-private. Messages and {@link dewplank.register.DurableState} are public for the codecs of other modules.
 * All code is single-threaded steps: nothing here may read a clock, sleep, start a thread, open a socket, touch a disk
 * or log, and nothing may know what the payload means.
 */
package dewplank.register;
