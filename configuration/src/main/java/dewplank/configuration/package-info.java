/**
 * The operators' configuration of the router fleet: routes, services and limits. Here a configuration is parsed and
 * validated ({@link dewplank.configuration.Configuration}), changed by a patch or as a whole
 * ({@link dewplank.configuration.ConfigurationDocument}, which also recognises retried changes), reduced to the
 * difference from an earlier one ({@link dewplank.configuration.ConfigurationDelta}), compressed
 * ({@link dewplank.configuration.DeflateCodec}) and looked up by a request's host and path
 * ({@link dewplank.configuration.RouteTable}).
 *
 * <p>All types are immutable or used by one call, so any thread may use them; nothing here does I/O, reads a clock or
 * logs. The text is checked strictly by RFC 8259, and fields that are not known here are passed through unchanged.
 * Where a configuration is stored, agreed on or sent does not belong here: the modules of the register, the store and
 * the two planes do that with the bytes that these types encode, which must stay readable. Nor do the processes' own
 * settings files, which module settings reads.
 */
package dewplank.configuration;
