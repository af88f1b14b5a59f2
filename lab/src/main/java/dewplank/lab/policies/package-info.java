/**
 * Reference policies that the decision module is compared with: ordinary balancers, and an oracle that has access to
 * the true state of the servers. All implement {@code Balancer} and comply with the four rules. Only the oracle may
 * access the emulator's environment.
 */
package dewplank.lab.policies;
