/**
 * The durable state of one control plane: the promised ballot and the accepted value of its acceptor, its fencing
 * tokens, and the small files that make a restart quicker.
 *
 * <p>This package contains the MVStore file of the acceptor, its byte formats, the file layer below it and the executor
 * that runs disk operations off the event loop. It stores the state of the register and of leases, but does not
 * implement their rules. No class of this package may use the network or the event loop; results are delivered to the
 * loop through the {@link java.util.concurrent.Executor} passed to {@link dewplank.store.SingleThreadDiskExecutor}.
 * Later releases read the file names, keys and bytes, so none of them may change.
 */
package dewplank.store;
