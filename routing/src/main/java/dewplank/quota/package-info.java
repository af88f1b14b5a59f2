/**
 * Enforces the tenants' quotas over the fleet: every control plane has token buckets with a share of each limit. This
 * package contains the buckets of one control plane ({@link dewplank.quota.QuotaBuckets}), the lease of its share
 * ({@link dewplank.quota.LeasedShare}), the assignment of shares to control planes
 * ({@link dewplank.quota.ShareAssigner}), and the tokens that a data plane has obtained
 * ({@link dewplank.quota.TokenCache}). {@code docs/design-quotas.md} describes the design and the argument for the
 * bound.
 *
 * <p>The package contains only state and arithmetic. Callers run on an event loop and pass the time with each call, in
 * milliseconds of a monotonic clock that they read after the event that they handle has arrived. Messages, timers,
 * clocks and the parsing of limits belong to the control plane and the data plane, which call this package.
 */
package dewplank.quota;
