/** The data plane's program: clients' requests forwarded by route to prefill and decode servers. */
package dewplank.dataplane;
