/**
 * The laboratory: the auditor of the four rules, the service that clients got, experiments over scenarios, policies,
 * parameters and seeds, their reports, and the load tool. Nothing here is loaded by {@code serve}.
 */
package dewplank.lab;
