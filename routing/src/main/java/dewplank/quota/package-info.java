/**
 * The decisions by which the fleet keeps tenants to their quotas: token buckets on all control planes, each with a
 * share of every limit. Here live one control plane's buckets ({@link dewplank.quota.QuotaBuckets}), the lease of
 * its share ({@link dewplank.quota.HeldShare}), who assigns the shares ({@link dewplank.quota.ShareAssigner}), and what
 * a data plane holds of the tokens ({@link dewplank.quota.TokenStock}). {@code docs/design-quotas.md} has the design,
 * and the argument for the bound.
 *
 * <p>Everything here is state and arithmetic. A caller on an event loop gives the time with each call, in milliseconds
 * of a steady clock that is read after what it reacts to has arrived. Messages, timers, clocks and the parsing of
 * limits must not live here: the control plane and the data plane have these and call in here.
 */
package dewplank.quota;
