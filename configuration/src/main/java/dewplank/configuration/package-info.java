/**
 * The operators' configuration of the router fleet: routes, services, limits and tenants. This package parses and
 * validates a configuration ({@link dewplank.configuration.Configuration}), applies a patch or replaces it as a whole
 * ({@link dewplank.configuration.ConfigurationDocument}, which also recognises retried changes), encodes the difference
 * from an earlier configuration ({@link dewplank.configuration.ConfigurationDelta}), compresses it
 * ({@link dewplank.configuration.DeflateCodec}) and looks up routes by a request's host and path
 * ({@link dewplank.configuration.RouteTable}).
 *
 * <p>All types are immutable or used for one call only, so any thread may use them; none of them does I/O, reads a
 * clock or logs. The text is checked strictly by RFC 8259, and unknown fields are passed through unchanged. This
 * package does not store, replicate or send configurations: the modules of the register, the store, the control plane
 * and the data plane do so with the bytes that these types encode, which must stay readable. It does not read the
 * settings files of the processes either; module settings does.
 */
package dewplank.configuration;
