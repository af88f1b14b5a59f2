/**
 * The operators' client, which the fleet commands of the command line use.
 *
 * <p>It calls the operators' API of control planes with failover, formats the responses as text, compares
 * configurations and explains routes. The programs of the fleet must not use this package, so that they load none of
 * its classes, and this package must not use their event loop; it shares their HTTP codecs. Arguments, flags and exit
 * codes are handled in {@code cli}.
 */
package dewplank.client;
