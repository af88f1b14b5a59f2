/**
 * Exchange of datagrams between sidecars, if the settings allow it.
 *
 * <p>The package handles addresses, sizes and bytes. The balancer interprets the content. If the settings do not allow
 * peer summaries, no class of the package is loaded.
 */
package dewplank.peers;
