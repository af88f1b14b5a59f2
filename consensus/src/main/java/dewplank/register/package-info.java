/**
 * The replicated register that holds the configuration: acceptors and proposers as pure steps. A change takes two
 * rounds at a majority (prepare, accept) and carries the value it expects; there is no log and no leader. Nothing here
 * reads a clock, draws time, opens a socket or touches a disk.
 */
package dewplank.register;
