/** Reference policies: what a sidecar with an ordinary balancer does, and the top that sees the true state. */
package dewplank.lab.policies;
