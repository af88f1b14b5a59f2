/**
 * The auditor of the four rules for every sidecar: exactly one final response in time, no double effect, no requests to
 * draining servers, no overload of cold servers. It checks the events that clients, servers and the endpoint directory
 * recorded, and does not depend on the decision module or on a sidecar. Each group of rules is one {@code RuleCheck}.
 */
package dewplank.lab.audit;
