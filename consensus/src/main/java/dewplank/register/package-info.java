/**
 * The replicated register that stores the fleet's configuration. It implements CASPaxos (Rystsov, 2018): every change
 * runs a prepare and an accept phase at a quorum and writes the whole value, so there is no log and no leader. The
 * acceptors are part of the value and are changed by joint consensus.
 *
 * <p>{@link dewplank.register.Register} is the entry point; its acceptor, proposer, learner, reader and anti-entropy
 * are package-private. Messages and {@link dewplank.register.DurableState} are public for the codecs of other modules.
 * All code runs in single-threaded steps. It must not read a clock, sleep, start a thread, open a socket, access a disk
 * or log, and must not depend on the meaning of the payload.
 */
package dewplank.register;
