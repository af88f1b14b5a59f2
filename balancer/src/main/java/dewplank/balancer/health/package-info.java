/**
 * Server health: this process's own observations, and the peers' summaries as votes. The router fleet uses
 * these observations too.
 *
 * <p>The consequences of an unhealthy vote, such as ejection or trials, do not belong here.
 */
package dewplank.balancer.health;
