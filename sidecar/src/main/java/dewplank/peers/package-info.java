/**
 * Datagrams between sidecars, where the settings allow them.
 *
 * <p>This package knows addresses, sizes and bytes. What the bytes mean belongs to the balancer. Where the settings
 * allow no peers, none of its classes is loaded.
 */
package dewplank.peers;
