/** The control plane's program: the operator's API, sessions, duties, the list of servers, updates to data planes. */
package dewplank.controlplane;
