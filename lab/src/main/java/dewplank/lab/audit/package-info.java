/**
 * The auditor of the four rules that every sidecar keeps: one final answer in time, no double effect, nothing sent to a
 * server that drains, no cold server overloaded. It judges by what clients, servers and the endpoint directory
 * recorded, and knows neither the decision module nor a sidecar. A group of rules is one {@code RuleCheck}.
 */
package dewplank.lab.audit;
