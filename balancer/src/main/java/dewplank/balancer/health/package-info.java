/**
 * What is known of a server's health: this process's own observations, and peers' summaries as votes. The
 * router fleet uses these observations too.
 *
 * <p>What follows from a verdict, such as ejection or trials, does not belong here.
 */
package dewplank.balancer.health;
