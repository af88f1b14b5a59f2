/**
 * The durable state of one control plane: what its acceptor has promised and accepted, its fencing tokens, and the
 * small files that make a restart quicker.
 *
 * <p>Here live the MVStore file of the acceptor, its byte formats, the file layer below it and the executor that keeps
 * disk work off the event loop. The rules of the register and of leases do not live here: this package stores their
 * state and decides nothing about it. No class here may use the network or the event loop; results reach the loop
 * through the {@link java.util.concurrent.Executor} that the {@link dewplank.store.SingleThreadDiskExecutor} is given.
 * File names, keys and bytes are read by later releases, so that none of them may change.
 */
package dewplank.store;
