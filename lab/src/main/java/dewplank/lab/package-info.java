/**
 * The laboratory: simulation runs of scenarios in virtual time and on sockets, metrics of the service that clients get,
 * experiments over scenarios, policies, parameters and seeds, and reports.
 *
 * <p>The auditor, the reference policies, the load tool and the benchmarks are in subpackages. The {@code serve}
 * command loads none of this code, and no sidecar uses it for decisions. Names in printed output and in files must not
 * change with identifiers, because scripts parse them.
 */
package dewplank.lab;
