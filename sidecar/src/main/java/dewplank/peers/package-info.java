/**
 * Datagrams between sidecars, where the settings allow them. Knows addresses and bytes, not what these mean; loaded
 * by nobody where the settings allow none.
 */
package dewplank.peers;
