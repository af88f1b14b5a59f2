/**
 * Reference policies to compare the decision module with: what a sidecar with an ordinary balancer does, and an oracle
 * that sees the servers' true state. They decide as {@code Balancer}s and keep the four rules. Only the oracle may look
 * at the emulator's world.
 */
package dewplank.lab.policies;
