/**
 * The operators' client: what the commands of the command line need of a fleet.
 *
 * <p>Here live calls to the operators' API of control planes with failover, the text views of their responses, the
 * comparison of configurations, and the explanation of routes. No program of the fleet may use this package, so that
 * what they load does not grow with it; nor may it use their event loop. Arguments, flags and exit codes live in
 * {@code cli}.
 */
package dewplank.client;
