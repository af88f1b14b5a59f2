/**
 * The laboratory: trials of scenarios in virtual time and on sockets, the service that clients got in them, experiments
 * over scenarios, policies, parameters and seeds, and their reports.
 *
 * <p>The auditor, the reference policies, the load tool and the benchmarks are packages below this one. Nothing here is
 * loaded by {@code serve}, and nothing here decides for a sidecar. What is printed or written to files keeps its names
 * when identifiers change, as scripts read it.
 */
package dewplank.lab;
